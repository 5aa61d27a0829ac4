package cwgate

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
)

// lateResponseWait is how long a response is awaited after its caller has left. The platform allows
// work for such callers to go on for half a second; the rest is for the way of the cancellation.
const lateResponseWait = 300 * time.Millisecond

// awaitLateResponse reads the response to a request whose caller has left, if other callers left
// without one too: it may state why the endpoint does not serve them. One response of an endpoint is
// awaited at a time. Otherwise the request is cancelled.
func (a *attempt) awaitLateResponse(ctx context.Context, pending *cwconn.Pending) {
	if !errors.Is(context.Cause(ctx), context.Canceled) || !a.beginAwaiting() {
		pending.Close()
		return
	}
	a.Go("late response", func() {
		defer a.endAwaiting()
		ctx, cancel := context.WithTimeout(a.ended, lateResponseWait)
		defer cancel()
		response, err := pending.Await(ctx)
		if err != nil {
			return // The attempt has failed already.
		}
		defer response.Close()
		a.recordResponse()
		a.recordHead(response, a.startedAt)
	})
}

// beginAwaiting reports whether a late response of the attempt's endpoint is to be awaited.
func (a *attempt) beginAwaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.placement.Endpoint
	if !e.HasUnansweredRequests() || a.awaited[e] {
		return false
	}
	a.awaited[e] = true
	return true
}

func (a *attempt) endAwaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.awaited, a.placement.Endpoint)
}
