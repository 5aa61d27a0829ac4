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

// forwardStream forwards whole events as they arrive. Nothing is sent to the caller before
// the first event, so that after an earlier failure any response is still possible.
func (a *attempt) forwardStream(ctx context.Context, o *opening) result {
	routed, response := a.req, o.response
	memory := a.Budget.NewReservation()
	defer memory.Release()
	splitter := &cwevent.Splitter{Peer: a.address, Memory: memory, LastEventID: routed.responder.lastEventID, HoldsComments: !routed.responder.hasBegun}
	hasMarkers := a.hasRelayMarkers(response)
	var relayReader cwevent.RelayReader
	chunk, buf, err := o.chunk, o.chunk[:cap(o.chunk)], o.chunkErr
	if !o.hasChunk {
		buf = make([]byte, eventBufferBytes)
		chunk, err = readChunk(response, buf)
	}
	for ; ; chunk, err = readChunk(response, buf) {
		events, limitErr := splitter.Push(chunk)
		if limitErr != nil {
			return a.failUnknown(ctx, limitErr)
		}
		if hasMarkers {
			var markerErr error
			if events, markerErr = relayReader.StripMarkers(events); markerErr != nil {
				return a.failUnknown(ctx, fmt.Errorf("read stream from %s: %w", a.address, markerErr))
			}
		}
		if len(events) > 0 {
			if splitter.HasEvent && !a.recordEvent(splitter.LastEventID) {
				return a.failUnknown(ctx, errStalled)
			}
			if err := a.writeEvents(o, events); err != nil {
				a.recordEnd(ctx, cwplacement.Abandoned)
				return result{outcome: cwanswer.Unknown, mayHaveRun: true, err: fmt.Errorf("forward events: %w", err)}
			}
			splitter.ReleaseEvents()
			if splitter.HasEvent { // comments are no progress
				a.stallTimer.reset(a.eventTimeout())
			}
		}
		if errors.Is(err, io.EOF) {
			held := splitter.TakeHeld()
			if hasMarkers {
				if markerErr := relayReader.End(held); markerErr != nil {
					return a.failUnknown(ctx, fmt.Errorf("read stream from %s: %w", a.address, markerErr))
				}
			}
			return a.finishStream(ctx, splitter, o)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			a.closeIdleConns(ctx)
			return a.failBroken(ctx, fmt.Errorf("read stream from %s: %w", a.address, err))
		}
	}
}

// writeEvents writes whole events, or comments between them.
func (a *attempt) writeEvents(o *opening, events []byte) error {
	a.beginResponse(o)
	return a.req.responder.writeEvents(events)
}

// beginResponse sends the head of the stream, unless that has been done.
func (a *attempt) beginResponse(o *opening) {
	if !a.req.responder.hasBegun {
		a.beginStream(o.head)
	}
	a.req.responder.beginStream(o.response.StatusCode, o.response.Header)
}

// readChunk reads the next bytes of a stream into buf.
func readChunk(response *cwconn.Response, buf []byte) ([]byte, error) {
	n, err := response.Read(buf)
	return buf[:n], err
}

// hasRelayMarkers reports whether the events of a response have the markers of a relayed stream.
// They depend on the route at the exit, which may differ from the one here while a new
// configuration spreads: it buffers what is no stream there, and then states the length.
func (a *attempt) hasRelayMarkers(response *cwconn.Response) bool {
	return a.exitDomain != "" && isEventStream(response.Header) && response.ContentLength < 0
}

// stripRelayMarkers removes the markers from a whole relayed stream.
func (a *attempt) stripRelayMarkers(body []byte) ([]byte, error) {
	var reader cwevent.RelayReader
	events, err := reader.StripMarkers(body)
	if err == nil && !reader.HasEnded() {
		err = cwevent.ErrMissingChunk
	}
	if err != nil {
		return nil, fmt.Errorf("read stream from %s: %w", a.address, err)
	}
	return events, nil
}

// finishStream handles the end of a stream and checks that it is complete. One that ends between
// two events is, and one without an event that goes on with another. If it is not delimited, the endpoint
// must also have outlived it.
func (a *attempt) finishStream(ctx context.Context, splitter *cwevent.Splitter, o *opening) result {
	switch {
	case len(splitter.TakePartial()) > 0:
		return a.failBroken(ctx, errPartialEvent)
	case !a.req.responder.hasBegun && a.lastEventID == "":
		return a.failBroken(ctx, errNoEvent)
	case !o.response.IsDelimited():
		a.confirmOrigin() // before the dial that may tell that the endpoint has ended
		if !a.outlivesResponse(ctx) {
			r := a.failUnknown(ctx, errEndedWithResponse)
			r.isBrokenOff = true
			return r
		}
	}
	if !a.retainResponse() {
		return a.failUnknown(ctx, errStalled)
	}
	a.recordEnd(ctx, cwplacement.Served)
	a.recordSurvival()
	r := result{outcome: cwanswer.Ran, mayHaveRun: true}
	if !a.req.responder.hasBegun {
		a.beginResponse(o)
		// A response that is sent in one piece gets a length, and counts as no stream at the instance
		// that relayed the request.
		if r.err = a.req.responder.flush(); r.err != nil {
			return r
		}
	}
	if r.err = a.req.responder.endStream(); r.err == nil {
		a.streams.Complete(a.req.streamID())
		r.done = true
	}
	return r
}

// recordEvent stops the stall timer and records the arrival of a chunk of events, which ends with
// the event lastEventID. It returns false if the stream already goes on at another place: the chunk
// must not be forwarded.
func (a *attempt) recordEvent(lastEventID string) bool {
	now := time.Now()
	// A stream that waits for its caller does not stall.
	a.stallTimer.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasMoved {
		return false
	}
	a.dropMove()
	a.req.responder.recordEvent(now)
	a.req.responder.lastEventID = lastEventID
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if !a.mayHaveCausedEnd(now) {
		a.recordSurvival()
	}
	if a.placement != nil {
		a.placement.OnEvent(now)
	}
	return true
}

const (
	// eventTimeoutFactor is the multiple of the longest expected gap between two events
	// after which a stream counts as stalled.
	eventTimeoutFactor = 3
	// minEventTimeout allows for an engine batch that processes a long prompt, which delays
	// the events of the other requests, and for a sound endpoint that is silent for a second
	// or so. The rest of minAbandonAfter, half a second, is left to a resumed run.
	minEventTimeout = 1500 * time.Millisecond
)

// eventTimeout returns how long a stream may pause before it counts as stalled; 0 if it
// can't be resumed at another place.
func (a *attempt) eventTimeout() time.Duration {
	if a.req.IsRelayed || !a.req.route.IsResumable || a.req.possibleRuns+1 >= a.req.route.MaxAttempts {
		return 0
	}
	return max(eventTimeoutFactor*a.req.route.MaxEventGap, minEventTimeout)
}
