package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// forwardStream passes whole events on as they arrive. Nothing goes out before the first
// one, so that an attempt which fails earlier leaves the answer open.
func (a *attempt) forwardStream(ctx context.Context, answer *cwconn.Response) result {
	j := a.req
	tracker := &cwevent.Splitter{LastEventID: j.responder.lastEventID}
	var hop cwevent.RelayReader
	buf := make([]byte, eventBufferBytes)
	for {
		n, err := answer.Read(buf)
		events := tracker.Push(buf[:n])
		if a.exitDomain != "" {
			var gap error
			if events, gap = hop.StripMarkers(events); gap != nil {
				return a.failUnknown(ctx, fmt.Errorf("read stream of %s: %w", a.address, gap))
			}
		}
		if len(events) > 0 {
			a.recordEvent()
			j.responder.beginStream(answer.StatusCode, answer.Header)
			if err := j.responder.writeEvents(events); err != nil {
				a.recordEnd(ctx, cwplacement.Abandoned)
				return result{err: fmt.Errorf("pass events on: %w", err)}
			}
			j.responder.lastEventID = tracker.LastEventID
		}
		if errors.Is(err, io.EOF) {
			if a.exitDomain != "" && !hop.HasEnded() {
				return a.failUnknown(ctx, fmt.Errorf("read stream of %s: %w", a.address, cwevent.ErrMissingChunk))
			}
			return a.finishStream(ctx, tracker)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			a.probeEndpoint(ctx)
			return a.failUnknown(ctx, fmt.Errorf("read stream of %s: %w", a.address, err))
		}
	}
}

func (a *attempt) finishStream(ctx context.Context, tracker *cwevent.Splitter) result {
	switch {
	case len(tracker.TakePartial()) > 0:
		return a.failUnknown(ctx, errPartialEvent)
	case !a.req.responder.hasBegun:
		return a.failUnknown(ctx, errNoEvent)
	}
	a.req.mergeOutcome(cwanswer.Ran)
	a.recordEnd(ctx, cwplacement.Served)
	if err := a.req.responder.endStream(); err != nil {
		return result{err: err}
	}
	return result{done: true}
}

func (a *attempt) recordEvent() {
	now := time.Now()
	a.stallTimer.reset(a.eventTimeout())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.req.responder.recordEvent(now)
	if a.ticket != nil {
		a.ticket.OnEvent(now)
	}
}

const (
	// eventTimeoutFactor is the multiple of the expected pause between two events after
	// which a stream counts as stalled.
	eventTimeoutFactor = 3
	// minEventTimeout leaves room for a batch that reads in a long prompt.
	minEventTimeout = 1200 * time.Millisecond
)

// eventTimeout is how long a stream may go without an event before it goes on
// elsewhere; 0 if it can't.
func (a *attempt) eventTimeout() time.Duration {
	if a.req.Relayed || !a.req.route.IsResumable || a.req.possibleRuns >= a.req.route.MaxAttempts {
		return 0
	}
	return max(eventTimeoutFactor*a.req.route.MaxEventGap, minEventTimeout)
}
