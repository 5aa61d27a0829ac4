package cwgate

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
)

const (
	// lateResponseWait is how long a response is awaited after its caller has left. The platform allows
	// work for such callers to go on for half a second; the rest is for the way of the cancellation.
	lateResponseWait = 300 * time.Millisecond
	// relayedResponseWait is the same for a relayed request, whose cancellation has had the way from
	// the other instance.
	relayedResponseWait = 200 * time.Millisecond
)

// awaitLateResponse reads the response to a request whose caller has left, if other callers left
// without one too: it may state why the endpoint does not serve them. One response of an endpoint is
// awaited at a time, and few of all. Otherwise the request is cancelled.
func (a *attempt) awaitLateResponse(ctx context.Context, pending *cwconn.Pending) {
	if !errors.Is(context.Cause(ctx), context.Canceled) || !a.beginAwaiting() {
		pending.Close()
		return
	}
	leftAt, wait := time.Now(), lateResponseWait
	if a.req.IsRelayed {
		wait = relayedResponseWait
	}
	a.Go("late response", func() {
		defer a.endAwaiting()
		defer func() { a.metrics.lateWaits.RecordDuration(time.Since(leftAt)) }()
		ctx, cancel := context.WithTimeout(a.ended, wait)
		defer cancel()
		response, err := pending.Await(ctx)
		if err != nil {
			// The attempt has failed already.
			a.Log.Info("no late response", zap.String("request", a.req.ID), zap.String("endpoint", a.placement.EndpointID), zap.Duration("waited", time.Since(leftAt)), zap.Bool("relayed", a.req.IsRelayed), zap.Error(err))
			return
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
	a.lateCalls.onLeft()
	if !e.HasUnansweredRequests() || a.awaited[e] || !a.lateCalls.tryKeep() {
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
