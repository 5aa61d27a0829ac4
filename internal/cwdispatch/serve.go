package cwdispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// ErrTruncated means that an answer that had begun could not be completed. The
// caller's connection must be aborted, so that the cut is seen.
var ErrTruncated = errors.New("answer was cut off")

const defaultAttempts = 3

// result is what one attempt came to.
type result struct {
	outcome cwanswer.Outcome
	err     error
	// elsewhere is set if the failure says nothing against another try.
	elsewhere bool
	// blame is set if the endpoint failed, and unreachable if it could not even be
	// connected to.
	blame, unreachable bool
}

// Serve runs a job to its end. It returns nil once the whole answer was
// delivered, ErrTruncated if it broke off, and else a *cwanswer.Problem; then
// nothing was delivered.
func (d *Dispatcher) Serve(ctx context.Context, job *Job, sink Sink) (*Served, error) {
	served := &Served{Instance: d.Settings.PeerAddress, Region: d.Settings.Region}
	out := &delivery{Sink: sink}
	var last error
	for {
		where := d.place(ctx, job)
		if where.problem != nil {
			return served, withCause(where.problem, last)
		}
		served.Attempts++
		r := d.attempt(ctx, job, where, out, served)
		job.outcome = mergeOutcome(job.outcome, r.outcome)
		if r.err == nil {
			d.earn(job, where)
			return served, nil
		}
		if out.started.Load() {
			return served, errors.Join(ErrTruncated, r.err)
		}
		last = r.err
		if !d.mayRetry(ctx, job, where, r, served.Attempts) {
			return served, d.finalProblem(ctx, job, r)
		}
	}
}

// withCause adds the failure of an earlier attempt to the problem that ended the
// search for another place.
func withCause(p *cwanswer.Problem, last error) *cwanswer.Problem {
	if last != nil {
		p.Detail += "; the attempt before failed: " + last.Error()
	}
	return p
}

// mergeOutcome keeps the strongest knowledge over all attempts.
func mergeOutcome(before, now cwanswer.Outcome) cwanswer.Outcome {
	if before == "" {
		return now
	}
	return before.Merge(now)
}

func (d *Dispatcher) attempt(ctx context.Context, job *Job, where placement, out *delivery, served *Served) result {
	if where.domain != "" {
		return d.forwardToDomain(ctx, job, where.domain, out, served)
	}
	return d.callEndpoint(ctx, job, where.choice, out, served)
}

// mayRetry decides on another attempt and notes where not to go again.
func (d *Dispatcher) mayRetry(ctx context.Context, job *Job, where placement, r result, attempts int) bool {
	silent := errors.Is(r.err, errSilent)
	switch {
	case where.domain != "":
		job.avoided = append(job.avoided, where.domain)
	case !silent:
		// A silent connection says nothing against its endpoint.
		job.avoid = where.choice.Endpoint.Address
	}
	if ctx.Err() != nil || !r.elsewhere || !job.Body.Sendable() {
		return false
	}
	// A request that must not be repeated has another attempt only while no
	// byte of it has left on any.
	if !job.Repeatable && job.outcome != cwanswer.NotRun {
		return false
	}
	most := job.Service.Retries.MaxAttempts
	if most == 0 {
		most = defaultAttempts
	}
	if attempts >= most {
		return false
	}
	if silent {
		// Paid for when the silent attempt was given up.
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(job, where).TrySpend()
}

// budget returns the retry budget for the service at the place that failed. The
// caller holds mu.
func (d *Dispatcher) budget(job *Job, where placement) *cwpolicy.RetryBudget {
	key := budgetKey{service: job.Service.Name, destination: where.domain}
	b := d.budgets[key]
	if b == nil {
		b = cwpolicy.NewRetryBudget()
		d.budgets[key] = b
	}
	return b
}

const defaultRetryRatio = 0.1

func (d *Dispatcher) earn(job *Job, where placement) {
	ratio := job.Service.Retries.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(job, where).OnSuccess(ratio)
}

// finalProblem is the answer after the last attempt. Its outcome is that of all
// attempts together, whatever the last one alone would say.
func (d *Dispatcher) finalProblem(ctx context.Context, job *Job, r result) *cwanswer.Problem {
	var p *cwanswer.Problem
	if !errors.As(r.err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", r.outcome, r.err.Error()).At("dispatch", job.avoid)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Status, p.Title = http.StatusGatewayTimeout, http.StatusText(http.StatusGatewayTimeout)
	}
	p.Outcome = job.outcomeNow()
	if p.RetryAfterSeconds == 0 {
		d.mu.Lock()
		p.RetryAfterSeconds = cwpolicy.ComputeRetryAfterSeconds(time.Second, d.rng.Float64())
		d.mu.Unlock()
	}
	return p
}
