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
	// startingWait is how long a request waits for the first configuration: two
	// round trips between regions and a margin.
	startingWait = 500 * time.Millisecond
	// startingRetry is when to come back to an instance that has no configuration.
	startingRetry = 300 * time.Millisecond
	// defaultPatience stands in for a caller that names no deadline.
	defaultPatience = 30 * time.Second
	// answerMargin is left for the final answer to travel back in time.
	answerMargin = 30 * time.Millisecond
	// maxSends bounds the attempts of one request, whatever their outcome.
	maxSends = 5
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
		out.hop = &cwevent.HopWriter{}
		w.Header().Set("Keep-Alive", exitKeepAlive)
	}
	config := g.configAtStart(ctx)
	if config == nil {
		g.turnAway(r, out, refuseNotRun("starting", startingRetry))
		return
	}
	route := config.Match(r.Host, r.Path)
	if route == nil {
		g.turnAway(r, out, Refusal{Status: http.StatusNotFound, Reason: "noRoute"})
		return
	}
	j := &job{Request: r, route: route, out: out, deadline: deadlineOf(r, route)}
	if refusal := j.readBody(config.Limits.BodyBytes); refusal != nil {
		g.turnAway(r, out, *refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	defer cancel()
	g.run(ctx, j)
}

// configAtStart returns the configuration in force. An instance that has just started
// has one within some round trips to the store, and callers wait that long rather
// than come back.
func (g *Gate) configAtStart(ctx context.Context) *cwroute.Config {
	if config := g.state.View().Config; config != nil {
		return config
	}
	timer := time.NewTimer(startingWait)
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
	patience := r.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 && !r.Relayed {
		patience = min(patience, route.Timeout)
	}
	return r.Arrived.Add(patience - min(answerMargin, patience/10))
}

// readBody reads the whole body, so that another attempt can send it again.
func (j *job) readBody(most int) *Refusal {
	if j.Body == nil || j.Length == 0 {
		return nil
	}
	if most > 0 && j.Length > int64(most) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	body, err := readAll(j.Body, j.Length, most)
	if errors.Is(err, errTooLarge) {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "bodyIncomplete"}
	}
	j.body = body
	return nil
}

var errTooLarge = errors.New("the body is too large")

func readAll(r io.Reader, length int64, most int) ([]byte, error) {
	if length > 0 {
		body := make([]byte, length)
		if n, err := io.ReadFull(r, body); err != nil {
			return nil, fmt.Errorf("read body: %d of %d bytes came: %w", n, length, err)
		}
		return body, nil
	}
	if most <= 0 {
		most = maxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > most {
		return nil, errTooLarge
	}
	return body, nil
}

// maxBodyBytes bounds a body where the configuration does not.
const maxBodyBytes = 16 << 20

// run makes attempts until one ends the request.
func (g *Gate) run(ctx context.Context, j *job) {
	g.admit(j)
	d := g.decide(j)
	for {
		if d.Action == cwplacement.ActionRefuse {
			g.giveUp(ctx, j, d)
			return
		}
		j.sends++
		j.predicted, j.predictedRest = max(d.LocalFirstByte, 0), d.RestOfResponse
		if d.Action == cwplacement.ActionRelay {
			j.predicted = d.RemoteFirstByte
		}
		result := g.attempt(ctx, j, d)
		g.logAttempt(j, d, result)
		if result.done {
			g.logEnd(j, "answered", nil)
			return
		}
		if ctx.Err() != nil || result.next == nil && !g.mayRepeat(j, result) {
			g.drop(result.next)
			g.fail(ctx, j, result)
			return
		}
		if result.next != nil {
			d = *result.next
			continue
		}
		d = g.decide(j)
	}
}

// drop gives back the place of an attempt that is not made; nil is allowed.
func (g *Gate) drop(d *cwplacement.Decision) {
	if d == nil || d.Placement == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Placement.OnEnd(cwplacement.Abandoned, time.Now())
}

// admit picks the service and counts the request for its retry budget.
func (g *Gate) admit(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j.service = j.route.PickService(g.rng.Float64())
	if !j.Relayed {
		g.budget(j.service).CountRequest(time.Now())
	}
}

func (g *Gate) budget(service string) *cwplacement.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = cwplacement.NewRetryBudget(g.bounds.RetryRatio, g.bounds.RetrySlack, g.bounds.RetryWindow, g.startedAt)
		g.budgets[service] = b
	}
	return b
}

// mayRepeat decides on another attempt.
func (g *Gate) mayRepeat(j *job, r result) bool {
	if j.sends >= maxSends {
		return false
	}
	switch {
	case r.notSent:
		return true
	case r.notRun:
	case !j.repeatable():
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(j.service).TrySpend(g.instances(), time.Now())
}

// instances returns the number that share what all have together. Silent ones
// count too: they may only be cut off from this one.
func (g *Gate) instances() int {
	return len(g.control.Snapshot().Members) + 1
}

// turnAway answers a request that came no further than the front.
func (g *Gate) turnAway(r *Request, out *responder, refusal Refusal) {
	out.refuse(refusal)
	g.counts.refused(refusal.Reason)
	g.Log.Info("request turned away", zap.String("request", r.ID), zap.String("reason", refusal.Reason), zap.Int("status", refusal.Status))
}

// giveUp answers a request for which there is no place.
func (g *Gate) giveUp(ctx context.Context, j *job, d cwplacement.Decision) {
	if j.out.begun {
		g.abort(j, d.Reason)
		return
	}
	if j.failure != nil {
		g.passFailure(j)
		return
	}
	if !j.notRun() {
		g.fail(ctx, j, result{err: fmt.Errorf("no other place: %s", d.Reason)})
		return
	}
	g.counts.refused(d.Reason)
	j.out.refuse(refuseNotRun(d.Reason, d.RetryAfter))
	g.logRefused(j, d)
}

// fail answers a request whose last attempt failed.
func (g *Gate) fail(ctx context.Context, j *job, r result) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		// The caller is gone; nobody reads an answer.
		g.logEnd(j, "callerGone", r.err)
		panic(http.ErrAbortHandler)
	case j.out.begun:
		g.abort(j, "streamBroken")
	case j.failure != nil:
		g.passFailure(j)
	case j.notRun():
		j.out.refuse(refuseNotRun("noRoom", cwplacement.RetryAfter(0, g.draw())))
		g.logEnd(j, "noRoom", r.err)
	case ctx.Err() != nil:
		j.out.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"})
		g.logEnd(j, "deadline", r.err)
	default:
		j.out.refuse(Refusal{Status: http.StatusBadGateway, Reason: "attemptFailed"})
		g.logEnd(j, "attemptFailed", r.err)
	}
}

func (g *Gate) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// passFailure hands an endpoint's own failure to the caller.
func (g *Gate) passFailure(j *job) {
	err := j.out.whole(j.failure)
	g.logEnd(j, "endpointFailed", err)
}

// abort breaks off an answer that has begun, so that it can't look complete.
func (g *Gate) abort(j *job, reason string) {
	g.logEnd(j, reason, nil)
	panic(http.ErrAbortHandler)
}
