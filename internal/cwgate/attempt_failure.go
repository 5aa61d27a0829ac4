package cwgate

import (
	"context"
	"errors"
	"fmt"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// handleCallError handles a call that failed before the head of a response was read.
func (a *attempt) handleCallError(ctx context.Context, err error) result {
	var callErr *cwconn.CallError
	errors.As(err, &callErr)
	if !callErr.Sent {
		outcome := cwplacement.Unreachable
		switch {
		case errors.Is(err, cwconn.ErrConnLimit), errors.Is(err, errUnwanted):
			outcome = cwplacement.Rejected
			a.excludePlace()
		case errors.Is(err, cwconn.ErrNoAnswer), errors.Is(err, errStalled):
			// An overdue attempt may have been cancelled while it dialled.
			outcome = cwplacement.Unanswered
			a.postponePlace()
		default:
			a.excludePlace()
		}
		a.recordEnd(ctx, outcome)
		if a.exitDomain != "" && ctx.Err() == nil {
			a.reportExitFailure(outcome == cwplacement.Unanswered)
		}
		return result{notSent: true, notRun: true, outcome: cwanswer.NotRun, err: err}
	}
	if callErr.Pending != nil {
		a.awaitLateResponse(ctx, callErr.Pending)
	}
	if errors.Is(err, cwconn.ErrOnlyOthers) || errors.Is(err, cwconn.ErrUnconfirmed) {
		a.metrics.unmatchedCalls.Inc(1)
	}
	a.excludePlace()
	a.closeIdleConns(ctx)
	if errors.Is(context.Cause(ctx), errDeadline) {
		a.renewConns()
	}
	a.probeEndpoint(ctx, a.preconnect)
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err, outcome: cwanswer.Unknown, mayHaveRun: true, isBrokenOff: !errors.Is(err, errStalled)}
}

// closeIdleConns closes the idle connections to the place of the attempt, whose connection broke:
// the cause may have interrupted all of them. It does nothing if the caller or the deadline ended
// the attempt.
func (a *attempt) closeIdleConns(ctx context.Context) {
	if cause := context.Cause(ctx); a.placement != nil && (cause == nil || errors.Is(cause, errStalled)) {
		a.conns.CloseIdle(a.address)
	}
}

// handleRejection handles a response which states that the request was not run.
func (a *attempt) handleRejection(ctx context.Context, response *cwconn.Response, head ResponseHead) result {
	response.Discard()
	if head.IsKeyRefused && a.exitDomain != "" {
		a.recordKeyRefused()
	}
	if a.exitDomain != "" {
		a.recordTriedBehindExit(head.TriedEndpoints)
	}
	if a.exitDomain == "" || !head.IsExitCutOff || !a.recordExitCutOff() {
		a.excludePlace()
	}
	a.recordEnd(ctx, cwplacement.Rejected)
	return result{notRun: true, outcome: cwanswer.NotRun, err: fmt.Errorf("%s rejected the request with status %d", a.address, response.StatusCode)}
}

// recordTriedBehindExit excludes the endpoints that an exit has tried: the exits of a region share them.
func (a *attempt) recordTriedBehindExit(endpoints []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.req.addTriedEndpoints(endpoints...)
}

// failBroken handles an attempt whose response was broken off.
func (a *attempt) failBroken(ctx context.Context, err error) result {
	a.probeEndpoint(ctx, a.preconnect)
	a.confirmOrigin()
	r := a.failUnknown(ctx, err)
	r.isBrokenOff = !errors.Is(err, errStalled)
	return r
}

// failUnknown handles an attempt that may have run and has no usable response.
func (a *attempt) failUnknown(ctx context.Context, err error) result {
	a.excludePlace()
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err, outcome: cwanswer.Unknown, mayHaveRun: true}
}

// errUnprovedRefusal means that a response has a status by which callers would take the request for not run,
// and does not state that.
var errUnprovedRefusal = errors.New("refusal without the proof that the request was not run")

// handleErrorResponse keeps an endpoint's error response, to be forwarded if no later
// attempt succeeds.
func (a *attempt) handleErrorResponse(ctx context.Context, response *cwconn.Response) result {
	body, err := a.readBody(response)
	if err != nil {
		return a.failBroken(ctx, err)
	}
	if !response.IsDelimited() && !a.outlivesResponse(ctx) {
		body.Release()
		return a.failUnknown(ctx, errEndedWithResponse)
	}
	if isPromiseOfEndpoint(response.StatusCode) {
		body.Release()
		return a.failUnknown(ctx, fmt.Errorf("status %d from %s: %w", response.StatusCode, a.address, errUnprovedRefusal))
	}
	a.excludePlace()
	a.recordEnd(ctx, cwplacement.Failed)
	a.req.releaseErrorResponse()
	a.req.errorResponse = &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	return result{outcome: cwanswer.Ran, mayHaveRun: true, err: fmt.Errorf("%s responded with status %d", a.address, response.StatusCode)}
}

// readBody reads the body of the response, up to cwlimit.MaxResponseBytes and within the
// budget of all responses. The caller must release it.
func (a *attempt) readBody(response *cwconn.Response) (*cwlimit.Buffer, error) {
	return a.Budget.ReadAll(response, a.address, response.ContentLength, cwlimit.MaxResponseBytes)
}
