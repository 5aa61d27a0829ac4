package cwdispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// ErrTruncated means that a response was started but could not be completed. The
// caller's connection must be aborted so that the caller notices the truncation.
var ErrTruncated = errors.New("response truncated")

const defaultMaxAttempts = 3

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome cwanswer.Outcome
	err     error
	// isRetryable is set if another attempt may succeed.
	isRetryable bool
	// isEndpointFault is set if the endpoint failed, and isUnreachable if nothing
	// could be sent to it.
	isEndpointFault, isUnreachable bool
}

// Serve runs a job until it succeeds or may not be retried. The error is nil if the
// complete response was delivered. It wraps ErrTruncated if only a part was, and
// otherwise is a *cwanswer.Problem, with nothing delivered. The result is never nil.
func (d *Dispatcher) Serve(ctx context.Context, job *Job, sink Sink) (*ServeResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(d.ended, func() { cancel(errEnded) })()
	result := &ServeResult{Instance: d.Settings.PeerAddress, Region: d.Settings.Region}
	tracked := &trackingSink{Sink: sink}
	var lastErr error
	for {
		target := d.place(ctx, job)
		if target.problem != nil {
			return result, withPreviousError(target.problem, lastErr)
		}
		result.Attempts++
		r := d.runAttempt(ctx, job, target, tracked, result)
		job.outcome = mergeOutcome(job.outcome, r.outcome)
		if r.err == nil {
			d.creditRetryBudget(job, target)
			return result, nil
		}
		if tracked.hasStarted.Load() {
			return result, errors.Join(ErrTruncated, r.err)
		}
		lastErr = r.err
		if !d.mayRetry(ctx, job, target, r, result.Attempts) {
			return result, d.finalProblem(ctx, job, r)
		}
	}
}

// withPreviousError adds the error of the previous attempt to the problem that
// prevents another attempt.
func withPreviousError(p *cwanswer.Problem, lastErr error) *cwanswer.Problem {
	if lastErr != nil {
		p.Detail += "; the attempt before failed: " + lastErr.Error()
	}
	return p
}

// mergeOutcome combines the outcomes of all attempts so far with the latest one.
func mergeOutcome(before, now cwanswer.Outcome) cwanswer.Outcome {
	if before == "" {
		return now
	}
	return before.Merge(now)
}

func (d *Dispatcher) runAttempt(ctx context.Context, job *Job, target placement, tracked *trackingSink, result *ServeResult) attemptResult {
	if target.domain != "" {
		return d.forwardToDomain(ctx, job, target.domain, tracked, result)
	}
	return d.callEndpoint(ctx, job, target.choice, tracked, result)
}

// mayRetry reports whether another attempt may be made, and spends retry budget for
// it. It excludes the failed endpoint or domain from the next attempt.
func (d *Dispatcher) mayRetry(ctx context.Context, job *Job, target placement, r attemptResult, attempts int) bool {
	isStalled := errors.Is(r.err, errConnectionStalled)
	switch {
	case target.domain != "":
		job.excludedDomains = append(job.excludedDomains, target.domain)
	case !isStalled:
		// A stalled connection does not mean that its endpoint failed.
		job.excludedEndpoint = target.choice.Endpoint.Address
	}
	if ctx.Err() != nil || !r.isRetryable || !job.Body.CanOpen() {
		return false
	}
	// A request that must not be repeated is retried only if no earlier attempt ran
	// or may have run it.
	if !job.IsRepeatable && job.outcome != cwanswer.NotRun {
		return false
	}
	maxAttempts := job.Service.Retries.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	if attempts >= maxAttempts {
		return false
	}
	if isStalled {
		// mayReplaceStalled has already checked the retry budget.
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(job, target).TrySpend()
}

// retryBudget returns the retry budget of the service for the destination of an
// attempt: another domain, or all endpoints of this one. The caller holds mu.
func (d *Dispatcher) retryBudget(job *Job, target placement) *cwpolicy.RetryBudget {
	key := retryBudgetKey{service: job.Service.Name, destination: target.domain}
	b := d.retryBudgets[key]
	if b == nil {
		b = cwpolicy.NewRetryBudget()
		d.retryBudgets[key] = b
	}
	return b
}

// defaultRetryRatio is the number of retries that each success allows.
const defaultRetryRatio = 0.1

func (d *Dispatcher) creditRetryBudget(job *Job, target placement) {
	ratio := job.Service.Retries.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(job, target).OnSuccess(ratio)
}

// finalProblem returns the problem to report after the last attempt. Its outcome
// combines those of all attempts.
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
