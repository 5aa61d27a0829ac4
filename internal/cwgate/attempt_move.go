package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// maxResumedOverlap is how long a stream that has begun may run at two places at once. The
// platform allows 400 ms; the rest is for the way of the cancellation.
const maxResumedOverlap = 300 * time.Millisecond

var (
	errSuperseded = errors.New("the response at the place before has gone on")
	errNoOpening  = errors.New("attempt ended without a result")
)

// move is the state of an overdue attempt that may go on at another place. The attempt stays open
// until the other place has begun to answer: a place may be silent too, or refuse the request.
type move struct {
	// next is the attempt at the other place, nil if there is none. hasMoved is set once it takes
	// over, and isDropped in next if it does not.
	next                *attempt
	hasMoved, isDropped bool
	// failed are the attempts at other places that have failed.
	failed []failedMove
	// spareRuns and spareAttempts are the numbers of further runs and attempts that the request may
	// have.
	spareRuns, spareAttempts int
}

// failedMove is an attempt beside an overdue one that did not take over.
type failedMove struct {
	decision cwplacement.Decision
	result   result
}

// limitMoves determines how often the request may be run and sent beside this attempt.
func (a *attempt) limitMoves() {
	routed := a.req
	if routed.IsRelayed || !routed.route.IsIdempotent() {
		return
	}
	a.spareRuns = max(routed.route.MaxAttempts, 1) - routed.possibleRuns - 1
	a.spareAttempts = maxTotalAttempts - routed.attempts
}

// beginMove begins an attempt at another place beside this one, paid for at paidAt, and returns false
// if that is not possible. The caller holds mu.
func (a *attempt) beginMove(ctx context.Context, d cwplacement.Decision, paidAt time.Time) bool {
	b, err := a.newAttempt(ctx, a.req, d)
	if err != nil {
		a.refundRetry(a.req, paidAt)
		return false
	}
	b.paidAt = paidAt
	a.next, b.opened = b, make(chan opening, 1)
	takeOver := func() { a.takeOver(b) }
	switch {
	case a.req.responder.eventCount > 0:
		b.onSent = func() { a.AfterFunc(maxResumedOverlap, "takeOver", takeOver) }
	case a.spareRuns > 1:
		// The next place is tried beside that one.
		a.AfterFunc(b.firstByteTimeout(), "takeOver", takeOver)
	}
	a.Go("move", func() { a.openMove(b) })
	return true
}

// openMove sends the request to the other place. The attempt there takes over when the response
// begins, or if this one has ended.
func (a *attempt) openMove(b *attempt) {
	defer close(b.opened)
	o := b.open(b.ctx)
	b.readFirstChunk(&o)
	if !a.isOver() {
		b.checkResponse(&o)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case b.isDropped:
		b.discard(&o)
	case o.failure != nil && !a.hasEnded && !a.hasMoved:
		a.recordMoveFailure(b, *o.failure)
	default:
		b.opened <- o
		a.hasMoved = true
		a.cancel(errStalled)
	}
}

// isOver reports whether only the attempt at the other place can still serve the request.
func (a *attempt) isOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasEnded || a.hasMoved
}

// readFirstChunk waits for the first bytes of a stream.
func (a *attempt) readFirstChunk(o *opening) {
	if o.failure != nil || !a.isStream(o.response) {
		return
	}
	buf := make([]byte, eventBufferBytes)
	o.hasChunk = true
	o.chunk, o.chunkErr = readChunk(o.response, buf)
}

// checkResponse turns a response for which no other attempt is given up into a failure.
func (a *attempt) checkResponse(o *opening) {
	var err error
	outcome := cwanswer.Unknown
	switch {
	case o.failure != nil:
		return
	case o.response.StatusCode >= http.StatusMultipleChoices:
		outcome, err = cwanswer.Ran, fmt.Errorf("%s responded with status %d", a.address, o.response.StatusCode)
	case a.isOtherOrigin(o.head):
		err = fmt.Errorf("response from %s: %w", a.address, errOtherOrigin)
	case o.hasChunk && len(o.chunk) == 0 && !(a.lastEventID != "" && errors.Is(o.chunkErr, io.EOF)):
		err = fmt.Errorf("read stream from %s: %w", a.address, errors.Join(errNoEvent, o.chunkErr))
	default:
		return
	}
	o.response.Close()
	r := a.failUnknown(a.ctx, err)
	r.outcome = outcome
	o.failure = &r
}

// recordMoveFailure records that the other place does not serve the request, so that this attempt
// looks for another one. The caller holds mu.
func (a *attempt) recordMoveFailure(b *attempt, r result) {
	a.next = nil
	a.addFailedMove(b, r)
	if r.notSent {
		a.refundRetry(a.req, b.paidAt)
	}
	b.cancel(nil)
	a.stallTimer.reset(alternativeInterval)
}

// addFailedMove counts an attempt that does not take over. The caller holds mu.
func (a *attempt) addFailedMove(b *attempt, r result) {
	a.failed = append(a.failed, failedMove{b.decision, r})
	a.spareAttempts--
	if r.mayHaveRun {
		a.spareRuns--
	}
}

// takeOver ends this attempt in favor of the one at the other place, which has not begun to answer.
func (a *attempt) takeOver(b *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next == b && !a.hasEnded && !a.hasMoved {
		a.hasMoved = true
		a.cancel(errStalled)
	}
}

// awaitOpening returns how an attempt began that takes over.
func (a *attempt) awaitOpening() opening {
	if o, ok := <-a.opened; ok {
		return o
	}
	return opening{failure: &result{outcome: cwanswer.Unknown, mayHaveRun: true, err: errNoOpening}}
}

// retainResponse reports whether the response of this attempt is forwarded to its end. It is not
// if another place has taken over. Otherwise none does any more.
func (a *attempt) retainResponse() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasMoved {
		return false
	}
	a.hasEnded = true
	a.dropMove()
	return true
}

// dropMove ends the attempt at the other place because this one has made progress. The caller holds
// mu.
func (a *attempt) dropMove() {
	if a.next == nil {
		return
	}
	a.addFailedMove(a.next, result{outcome: cwanswer.Unknown, mayHaveRun: true, err: errSuperseded})
	a.next.abandon()
	a.next = nil
}

// drop ends an attempt that began beside another one and is not needed. It may be nil.
func (g *Gate) drop(a *attempt) {
	if a == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.abandon()
}

// abandon ends an attempt that does not take over. The caller holds mu.
func (a *attempt) abandon() {
	a.isDropped = true
	a.cancel(errSuperseded)
	select {
	case o, ok := <-a.opened:
		if ok {
			a.discard(&o)
		}
	default:
	}
}

// discard releases what an attempt that does not take over has received. The caller holds mu.
func (a *attempt) discard(o *opening) {
	if o.failure != nil {
		return
	}
	o.response.Close()
	if a.placement != nil {
		a.placement.OnEnd(cwplacement.Abandoned, time.Now())
	}
}

// recordFailedMoves records and logs the attempts beside this one that did not take over.
func (a *attempt) recordFailedMoves() {
	a.mu.Lock()
	failed := a.failed
	a.failed = nil
	a.mu.Unlock()
	for _, f := range failed {
		a.req.attempts++
		a.req.recordResult(f.result)
		a.takeBackUnsent(a.req, f.decision, f.result)
		a.logAttempt(a.req, f.decision, f.result)
	}
}
