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

const defaultMaxAttempts = 3

// attemptResult is what one attempt came to.
type attemptResult struct {
	outcome cwanswer.Outcome
	err     error
	// isRetryable is set if the failure says nothing against another try.
	isRetryable bool
	// isEndpointFault is set if the endpoint failed, and unreachable if it could not even be
	// connected to.
	isEndpointFault, isUnreachable bool
}

// Serve runs a job to its end. It returns nil once the whole answer was
// delivered, ErrTruncated if it broke off, and else a *cwanswer.Problem; then
// nothing was delivered.
func (d *Dispatcher) Serve(ctx context.Context, job *Job, sink Sink) (*ServeResult, error) {
	served := &ServeResult{Instance: d.Settings.PeerAddress, Region: d.Settings.Region}
	out := &trackingSink{Sink: sink}
	var last error
	for {
		where := d.place(ctx, job)
		if where.problem != nil {
			return served, withPreviousError(where.problem, last)
		}
		served.Attempts++
		r := d.runAttempt(ctx, job, where, out, served)
		job.outcome = mergeOutcome(job.outcome, r.outcome)
		if r.err == nil {
			d.creditRetryBudget(job, where)
			return served, nil
		}
		if out.hasStarted.Load() {
			return served, errors.Join(ErrTruncated, r.err)
		}
		last = r.err
		if !d.mayRetry(ctx, job, where, r, served.Attempts) {
			return served, d.finalProblem(ctx, job, r)
		}
	}
}

// withPreviousError adds the failure of an earlier attempt to the problem that ended the
// search for another place.
func withPreviousError(p *cwanswer.Problem, last error) *cwanswer.Problem {
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

func (d *Dispatcher) runAttempt(ctx context.Context, job *Job, where placement, out *trackingSink, served *ServeResult) attemptResult {
	if where.domain != "" {
		return d.forwardToDomain(ctx, job, where.domain, out, served)
	}
	return d.callEndpoint(ctx, job, where.choice, out, served)
}

// mayRetry decides on another attempt and notes where not to go again.
func (d *Dispatcher) mayRetry(ctx context.Context, job *Job, where placement, r attemptResult, attempts int) bool {
	silent := errors.Is(r.err, errConnectionStalled)
	switch {
	case where.domain != "":
		job.excludedDomains = append(job.excludedDomains, where.domain)
	case !silent:
		// A silent connection says nothing against its endpoint.
		job.excludedEndpoint = where.choice.Endpoint.Address
	}
	if ctx.Err() != nil || !r.isRetryable || !job.Body.CanOpen() {
		return false
	}
	// A request that must not be repeated has another attempt only while no
	// byte of it has left on any.
	if !job.IsRepeatable && job.outcome != cwanswer.NotRun {
		return false
	}
	most := job.Service.Retries.MaxAttempts
	if most == 0 {
		most = defaultMaxAttempts
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
	return d.retryBudget(job, where).TrySpend()
}

// retryBudget returns the retry budget for the service at the place that failed. The
// caller holds mu.
func (d *Dispatcher) retryBudget(job *Job, where placement) *cwpolicy.RetryBudget {
	key := retryBudgetKey{service: job.Service.Name, destination: where.domain}
	b := d.retryBudgets[key]
	if b == nil {
		b = cwpolicy.NewRetryBudget()
		d.retryBudgets[key] = b
	}
	return b
}

const defaultRetryRatio = 0.1

func (d *Dispatcher) creditRetryBudget(job *Job, where placement) {
	ratio := job.Service.Retries.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(job, where).OnSuccess(ratio)
}

// finalProblem is the answer after the last attempt. Its outcome is that of all
// attempts together, whatever the last one alone would say.
func (d *Dispatcher) finalProblem(ctx context.Context, job *Job, r attemptResult) *cwanswer.Problem {
	var p *cwanswer.Problem
	if !errors.As(r.err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", r.outcome, r.err.Error()).WithOrigin("dispatch", job.excludedEndpoint)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Status, p.Title = http.StatusGatewayTimeout, http.StatusText(http.StatusGatewayTimeout)
	}
	p.Outcome = job.currentOutcome()
	if p.RetryAfterSeconds == 0 {
		d.mu.Lock()
		p.RetryAfterSeconds = cwpolicy.ComputeRetryAfterSeconds(time.Second, d.rng.Float64())
		d.mu.Unlock()
	}
	return p
}
