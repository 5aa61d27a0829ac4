package cwgate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// configWait is how long a request waits for the first configuration: two round trips
	// between regions and a margin.
	configWait = 500 * time.Millisecond
	// configRetryAfter is the time after which callers should retry that were refused for
	// lack of a configuration.
	configRetryAfter = 300 * time.Millisecond
	// defaultCallerTimeout is the timeout of requests that state none.
	defaultCallerTimeout = 30 * time.Second
	// callerResponseMargin is the part of the caller's timeout that is reserved for the
	// transfer of the final response; at most a tenth of the timeout is.
	callerResponseMargin = 30 * time.Millisecond
	// maxTotalAttempts is the largest number of attempts of one request, whatever their
	// outcome.
	maxTotalAttempts = 5
)

var (
	errDeadline   = errors.New("request deadline exceeded")
	errCallerLeft = errors.New("caller left before its request was read")
)

// Serve responds to one request. It panics with http.ErrAbortHandler, which closes the
// connection, if a response that has begun can't be completed.
func (g *Gate) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ctx, cancelRequest := context.WithCancelCause(ctx)
	defer cancelRequest(nil)
	defer context.AfterFunc(g.ended, func() { cancelRequest(errEnded) })()
	responder := newResponder(w)
	if r.IsRelayed {
		responder.relay = &cwevent.RelayWriter{}
		w.Header().Set("Keep-Alive", exitKeepAlive)
	}
	config := g.waitForConfig(ctx, r)
	if config == nil {
		g.refuseUnrouted(r, responder, newNotRunRefusal("starting", configRetryAfter))
		return
	}
	routed := &routedRequest{Request: r, config: config, responder: responder, bodyClaim: g.Requests.NewClaim()}
	routed.addTriedEndpoints(r.TriedEndpoints...)
	defer routed.bodyClaim.Release()
	for _, s := range g.steps {
		if refusal := s.take(ctx, routed); refusal != nil {
			g.refundQuota(routed)
			g.refuseUnrouted(r, responder, *refusal, g.refusalFields(routed, refusal)...)
			return
		}
	}
	ctx, cancel := context.WithDeadlineCause(ctx, routed.deadline, errDeadline)
	defer cancel()
	defer cwserver.LimitWrites(ctx, w)()
	defer routed.releaseErrorResponse()
	g.runAttempts(ctx, routed)
	if routed.isNotRun() {
		g.refundQuota(routed)
	}
}

// waitForConfig returns the configuration in force, nil if there is none within configWait and
// the caller's timeout. An instance that has just started gets one within some round trips to
// the store. Requests wait that long instead of being refused.
func (g *Gate) waitForConfig(ctx context.Context, r *Request) *cwroute.Config {
	if config := g.state.View().Config; config != nil {
		return config
	}
	timer := time.NewTimer(min(configWait, time.Until(deadlineOf(r, &cwroute.Route{}))))
	defer timer.Stop()
	select {
	case <-g.state.Configured():
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.state.View().Config
}

// deadlineOf returns when the final response must be sent, from the caller's timeout and
// the limit of the route.
func deadlineOf(r *Request, route *cwroute.Route) time.Time {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if route.Timeout > 0 && !r.IsRelayed {
		timeout = min(timeout, route.Timeout)
	}
	return r.ArrivedAt.Add(timeout - min(callerResponseMargin, timeout/10))
}

// runAttempts makes attempts until one succeeds or no other is possible, and then ends the
// request.
func (g *Gate) runAttempts(ctx context.Context, routed *routedRequest) {
	if refusal := g.bindTakenUpStream(ctx, routed); refusal != nil {
		g.refuseUnrouted(routed.Request, routed.responder, *refusal, routed.takeUpFields()...)
		return
	}
	g.assignService(routed)
	if b := g.findBlock(routed); b != nil {
		g.refuseBlocked(ctx, routed, b)
		return
	}
	if cwserver.HasPeerLeft(ctx) {
		g.finishCancelled(routed, result{err: errCallerLeft})
		return
	}
	next := g.beginAttempt(ctx, routed)
	for next != nil {
		a := next
		routed.recordAttempt(a.decision)
		result := g.runAttempt(ctx, a)
		a.recordFailedMoves()
		routed.recordResult(result)
		g.takeBackUnsent(routed, a.decision, result)
		g.logAttempt(routed, a.decision, result)
		if result.done {
			g.logEnd(routed, "answered", nil)
			return
		}
		if ctx.Err() == nil && g.isKeyWithdrawn(routed) {
			g.drop(result.next)
			g.refuseUnrouted(routed.Request, routed.responder, *g.refuseKey(routed, reasonKeyWithdrawn), routed.accountFields()...)
			return
		}
		if result.hasEndedPlace {
			routed.ends++
		}
		if b := g.findBlock(routed); b != nil && ctx.Err() == nil {
			g.drop(result.next)
			g.refuseBlocked(ctx, routed, b)
			return
		}
		if ctx.Err() != nil || !g.mayEndAnother(routed) || result.next == nil && !g.reserveRetry(routed, result) {
			g.drop(result.next)
			g.finishFailed(ctx, routed, result)
			return
		}
		next = result.next
		if next == nil {
			next = g.beginAttempt(ctx, routed)
		}
	}
}

// beginAttempt decides where the next attempt is made. It returns nil if it has ended the request
// instead.
func (g *Gate) beginAttempt(ctx context.Context, routed *routedRequest) *attempt {
	for {
		d := g.decidePlacement(routed)
		if d.IsReturnExpected {
			if !g.awaitReturn(ctx, routed) {
				g.finishFailed(ctx, routed, result{err: errAllSilent})
				return nil
			}
			continue
		}
		if d.Action == cwplacement.ActionRefuse {
			g.refuseUnplaced(ctx, routed, d)
			return nil
		}
		if routed.attempts == 0 && g.isTooLate(routed, d) {
			g.refuseLate(routed, d)
			return nil
		}
		g.mu.Lock()
		a, err := g.newAttempt(ctx, routed, d)
		g.mu.Unlock()
		if err == nil {
			return a
		}
		r := result{notSent: true, notRun: true, outcome: cwanswer.NotRun, err: err}
		routed.recordAttempt(d)
		routed.recordResult(r)
		g.takeBackUnsent(routed, d, r)
		g.logAttempt(routed, d, r)
		if ctx.Err() != nil || !g.reserveRetry(routed, r) {
			g.finishFailed(ctx, routed, r)
			return nil
		}
	}
}

// refuseLate refuses a request that may still be in progress when the instance ends.
func (g *Gate) refuseLate(routed *routedRequest, d cwplacement.Decision) {
	g.releasePlacement(&d)
	g.takeBackUnsent(routed, d, result{notSent: true})
	routed.responder.Header().Set("Connection", "close")
	g.refuseUnrouted(routed.Request, routed.responder, newNotRunRefusal("leaving", leavingRetryAfter), routed.accountFields()...)
}

// releasePlacement releases the placement of an attempt that is not made.
func (g *Gate) releasePlacement(d *cwplacement.Decision) {
	if d.Placement == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Placement.OnEnd(cwplacement.Abandoned, time.Now())
}

// takeBackUnsent removes a relayed attempt of which nothing was sent from the work relayed to
// its domain.
func (g *Gate) takeBackUnsent(routed *routedRequest, d cwplacement.Decision, r result) {
	if d.Action != cwplacement.ActionRelay || !r.notSent {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pools[routed.service]; p != nil {
		p.TakeBackRelay(d)
	}
}

// assignService selects the service of the request, and counts the request for the service's retry budget.
func (g *Gate) assignService(routed *routedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	routed.service = routed.origin.Service
	if !routed.hasOrigin {
		routed.service = routed.route.PickService(g.rng.Float64())
	}
	if !routed.IsRelayed {
		g.retryBudget(routed.service).CountRequest(time.Now())
	}
}

// reserveRetry spends retry budget for another attempt after the result r. It returns false
// if no other attempt may be made or the budget is exhausted. After an attempt that was not
// sent, no budget is needed.
func (g *Gate) reserveRetry(routed *routedRequest, r result) bool {
	if routed.attempts >= maxTotalAttempts {
		return false
	}
	switch {
	case r.notSent:
		return true
	case r.notRun:
	case !routed.isRepeatable():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spendRetry(routed, time.Now())
}

// refuseUnrouted refuses a request before it is assigned to a service.
func (g *Gate) refuseUnrouted(r *Request, resp *responder, refusal Refusal, fields ...zap.Field) {
	g.writeRefusal(r, resp, refusal)
	g.metrics.countRefusal(refusal.Reason)
	g.Log.Info("request turned away", append(fields, zap.String("request", r.ID), zap.String("reason", refusal.Reason), zap.Int("status", refusal.Status))...)
}

// refuseUnplaced ends a request for which no place is left.
func (g *Gate) refuseUnplaced(ctx context.Context, routed *routedRequest, d cwplacement.Decision) {
	if routed.responder.hasBegun {
		g.abort(routed, d.Reason, nil)
		return
	}
	if routed.errorResponse != nil {
		g.forwardErrorResponse(routed)
		return
	}
	if !routed.isNotRun() {
		g.finishFailed(ctx, routed, result{err: fmt.Errorf("no other place for the request: %s", d.Reason)})
		return
	}
	if g.isVersionGone(routed) {
		d.Reason, d.RetryAfter = "noVersion", 0
	}
	if routed.IsRelayed && g.isCutOff() {
		g.codec.EncodeCutOff(routed.responder.Header())
	}
	g.encodeTried(routed)
	g.metrics.countRefusal(d.Reason)
	g.writeRefusal(routed.Request, routed.responder, newNotRunRefusal(d.Reason, d.RetryAfter))
	g.logRefused(routed, d)
}

// encodeTried names in the refusal of a relayed request the endpoints that it was sent to here.
func (g *Gate) encodeTried(routed *routedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if tried := routed.triedEndpoints[len(routed.TriedEndpoints):]; routed.IsRelayed && len(tried) > 0 {
		g.codec.EncodeTried(routed.responder.Header(), tried)
	}
}

// finishFailed ends a request whose last attempt failed.
func (g *Gate) finishFailed(ctx context.Context, routed *routedRequest, r result) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		g.finishCancelled(routed, r)
	case routed.responder.hasBegun:
		g.abort(routed, "streamBroken", r.err)
	case routed.errorResponse != nil:
		g.forwardErrorResponse(routed)
	case routed.isNotRun():
		g.encodeTried(routed)
		g.writeRefusal(routed.Request, routed.responder, newNotRunRefusal("noRoom", cwplacement.RetryAfter(0, g.randomFloat())))
		g.logEnd(routed, "noRoom", r.err)
	case errors.Is(context.Cause(ctx), errEnded):
		g.writeRefusal(routed.Request, routed.responder, Refusal{Status: http.StatusBadGateway, Reason: "leaving"})
		g.logEnd(routed, "attemptFailed", errors.Join(errEnded, r.err))
	case ctx.Err() != nil:
		g.writeRefusal(routed.Request, routed.responder, Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"})
		g.logEnd(routed, "deadline", r.err)
	default:
		g.writeRefusal(routed.Request, routed.responder, Refusal{Status: http.StatusBadGateway, Reason: "attemptFailed"})
		g.logEnd(routed, "attemptFailed", r.err)
	}
}

// finishCancelled ends a request whose context was cancelled. net/http does that when a read of
// the caller's connection fails: at its end, which may be a half-close. A caller that can still
// read gets a response which states whether the request may have run.
func (g *Gate) finishCancelled(routed *routedRequest, r result) {
	if routed.responder.hasBegun {
		g.logEnd(routed, "callerGone", r.err)
		panic(http.ErrAbortHandler)
	}
	// All further requests of the connection would be cancelled too.
	routed.responder.Header().Set("Connection", "close")
	refusal := Refusal{Status: http.StatusBadGateway, Reason: "cancelled"}
	if routed.isNotRun() {
		refusal = newNotRunRefusal("cancelled", cwplacement.RetryAfter(0, g.randomFloat()))
	}
	g.writeRefusal(routed.Request, routed.responder, refusal)
	g.logEnd(routed, "callerGone", r.err)
}

// randomFloat returns a random number in [0, 1).
func (g *Gate) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// forwardErrorResponse forwards an endpoint's error response to the caller.
func (g *Gate) forwardErrorResponse(routed *routedRequest) {
	err := routed.responder.writeBuffered(routed.errorResponse)
	g.logEnd(routed, "endpointFailed", err)
}

// abort closes the caller's connection during a response that has begun, so that the
// response can't be taken for complete.
func (g *Gate) abort(routed *routedRequest, reason string, err error) {
	g.logEnd(routed, reason, err)
	panic(http.ErrAbortHandler)
}
