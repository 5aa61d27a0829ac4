package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// configWait is how long a request waits for the first configuration: two
	// round trips between regions and a margin.
	configWait = 500 * time.Millisecond
	// configRetryAfter is when to come back to an instance that has no configuration.
	configRetryAfter = 300 * time.Millisecond
	// defaultCallerTimeout stands in for a caller that names no deadline.
	defaultCallerTimeout = 30 * time.Second
	// callerResponseMargin is left for the final answer to travel back in time.
	callerResponseMargin = 30 * time.Millisecond
	// maxTotalAttempts bounds the attempts of one request, whatever their outcome.
	maxTotalAttempts = 5
)

var errDeadline = errors.New("the deadline passed")

// Serve answers one request. It aborts the connection if an answer that had begun
// could not be completed.
func (g *Gate) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.closeConns.Load() {
		w.Header().Set("Connection", "close")
	}
	out := newResponder(w)
	if r.Relayed {
		out.relay = &cwevent.RelayWriter{}
		w.Header().Set("Keep-Alive", exitKeepAlive)
	}
	config := g.waitForConfig(ctx)
	if config == nil {
		g.refuseUnrouted(r, out, newNotRunRefusal("starting", configRetryAfter))
		return
	}
	route := config.Match(r.Host, r.Path)
	if route == nil {
		g.refuseUnrouted(r, out, Refusal{Status: http.StatusNotFound, Reason: "noRoute"})
		return
	}
	j := &routedRequest{Request: r, route: route, responder: out, deadline: deadlineOf(r, route)}
	if refusal := j.readBody(config.Limits.BodyBytes); refusal != nil {
		g.refuseUnrouted(r, out, *refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	defer cancel()
	g.runAttempts(ctx, j)
}

// waitForConfig returns the configuration in force. An instance that has just started
// has one within some round trips to the store, and callers wait that long rather
// than come back.
func (g *Gate) waitForConfig(ctx context.Context) *cwroute.Config {
	if config := g.state.View().Config; config != nil {
		return config
	}
	timer := time.NewTimer(configWait)
	defer timer.Stop()
	select {
	case <-g.state.Configured():
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.state.View().Config
}

// deadlineOf returns when the final answer is due: what the caller waits, bounded by
// the route.
func deadlineOf(r *Request, route *cwroute.Route) time.Time {
	patience := r.Timeout
	if patience <= 0 {
		patience = defaultCallerTimeout
	}
	if route.Timeout > 0 && !r.Relayed {
		patience = min(patience, route.Timeout)
	}
	return r.Arrived.Add(patience - min(callerResponseMargin, patience/10))
}

// readBody reads the whole body, so that another attempt can send it again.
func (j *routedRequest) readBody(most int) *Refusal {
	if j.Body == nil || j.Length == 0 {
		return nil
	}
	if most > 0 && j.Length > int64(most) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	body, err := readBounded(j.Body, j.Length, most)
	if errors.Is(err, errBodyTooLarge) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "bodyIncomplete"}
	}
	j.body = body
	return nil
}

var errBodyTooLarge = errors.New("the body is too large")

func readBounded(r io.Reader, length int64, most int) ([]byte, error) {
	if length > 0 {
		body := make([]byte, length)
		if n, err := io.ReadFull(r, body); err != nil {
			return nil, fmt.Errorf("read body: %d of %d bytes came: %w", n, length, err)
		}
		return body, nil
	}
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > most {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// defaultMaxBodyBytes bounds a body where the configuration does not.
const defaultMaxBodyBytes = 16 << 20

// runAttempts makes attempts until one ends the request.
func (g *Gate) runAttempts(ctx context.Context, j *routedRequest) {
	g.admit(j)
	d := g.decidePlacement(j)
	for {
		if d.Action == cwplacement.ActionRefuse {
			g.refuseUnplaced(ctx, j, d)
			return
		}
		j.attempts++
		j.predictedFirstByte, j.predictedRest = max(d.LocalFirstByte, 0), d.RestOfResponse
		if d.Action == cwplacement.ActionRelay {
			j.predictedFirstByte = d.RemoteFirstByte
		}
		result := g.runAttempt(ctx, j, d)
		g.logAttempt(j, d, result)
		if result.done {
			g.logEnd(j, "answered", nil)
			return
		}
		if ctx.Err() != nil || result.next == nil && !g.mayRetry(j, result) {
			g.releasePlacement(result.next)
			g.finishFailed(ctx, j, result)
			return
		}
		if result.next != nil {
			d = *result.next
			continue
		}
		d = g.decidePlacement(j)
	}
}

// releasePlacement gives back the place of an attempt that is not made; nil is allowed.
func (g *Gate) releasePlacement(d *cwplacement.Decision) {
	if d == nil || d.Placement == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Placement.OnEnd(cwplacement.Abandoned, time.Now())
}

// admit picks the service and counts the request for its retry budget.
func (g *Gate) admit(j *routedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j.service = j.route.PickService(g.rng.Float64())
	if !j.Relayed {
		g.retryBudget(j.service).CountRequest(time.Now())
	}
}

func (g *Gate) retryBudget(service string) *cwplacement.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = cwplacement.NewRetryBudget(g.bounds.RetryRatio, g.bounds.RetrySlack, g.bounds.RetryWindow, g.startedAt)
		g.budgets[service] = b
	}
	return b
}

// mayRetry decides on another attempt.
func (g *Gate) mayRetry(j *routedRequest, r result) bool {
	if j.attempts >= maxTotalAttempts {
		return false
	}
	switch {
	case r.notSent:
		return true
	case r.notRun:
	case !j.isRepeatable():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(j.service).TrySpend(g.instanceCount(), time.Now())
}

// instanceCount returns the number that share what all have together. Silent ones
// count too: they may only be cut off from this one.
func (g *Gate) instanceCount() int {
	return len(g.control.Snapshot().Members) + 1
}

// refuseUnrouted answers a request that came no further than the front.
func (g *Gate) refuseUnrouted(r *Request, out *responder, refusal Refusal) {
	out.writeRefusal(refusal)
	g.metrics.countRefusal(refusal.Reason)
	g.Log.Info("request turned away", zap.String("request", r.ID), zap.String("reason", refusal.Reason), zap.Int("status", refusal.Status))
}

// refuseUnplaced answers a request for which there is no place.
func (g *Gate) refuseUnplaced(ctx context.Context, j *routedRequest, d cwplacement.Decision) {
	if j.responder.hasBegun {
		g.abort(j, d.Reason)
		return
	}
	if j.errorResponse != nil {
		g.forwardErrorResponse(j)
		return
	}
	if !j.isNotRun() {
		g.finishFailed(ctx, j, result{err: fmt.Errorf("no other place: %s", d.Reason)})
		return
	}
	g.metrics.countRefusal(d.Reason)
	j.responder.writeRefusal(newNotRunRefusal(d.Reason, d.RetryAfter))
	g.logRefused(j, d)
}

// finishFailed answers a request whose last attempt failed.
func (g *Gate) finishFailed(ctx context.Context, j *routedRequest, r result) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		// The caller is gone; nobody reads an answer.
		g.logEnd(j, "callerGone", r.err)
		panic(http.ErrAbortHandler)
	case j.responder.hasBegun:
		g.abort(j, "streamBroken")
	case j.errorResponse != nil:
		g.forwardErrorResponse(j)
	case j.isNotRun():
		j.responder.writeRefusal(newNotRunRefusal("noRoom", cwplacement.RetryAfter(0, g.randomFloat())))
		g.logEnd(j, "noRoom", r.err)
	case ctx.Err() != nil:
		j.responder.writeRefusal(Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"})
		g.logEnd(j, "deadline", r.err)
	default:
		j.responder.writeRefusal(Refusal{Status: http.StatusBadGateway, Reason: "attemptFailed"})
		g.logEnd(j, "attemptFailed", r.err)
	}
}

func (g *Gate) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// forwardErrorResponse hands an endpoint's own failure to the caller.
func (g *Gate) forwardErrorResponse(j *routedRequest) {
	err := j.responder.writeBuffered(j.errorResponse)
	g.logEnd(j, "endpointFailed", err)
}

// abort breaks off an answer that has begun, so that it can't look complete.
func (g *Gate) abort(j *routedRequest, reason string) {
	g.logEnd(j, reason, nil)
	panic(http.ErrAbortHandler)
}
