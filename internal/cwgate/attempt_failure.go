package cwgate

import (
	"context"
	"errors"
	"fmt"
	"time"

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
		case errors.Is(err, cwconn.ErrConnLimit):
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
		a.req.mergeOutcome(cwanswer.NotRun)
		return result{notSent: true, notRun: true, err: err}
	}
	a.excludePlace()
	a.req.possibleRuns++
	a.req.mergeOutcome(cwanswer.Unknown)
	a.probeEndpoint(ctx)
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err}
}

// probeEndpoint opens a new connection to an endpoint whose response was interrupted, and
// marks the endpoint unreachable if that fails. It does not wait for the result. The idle
// connections to the endpoint are closed, since the cause may have interrupted all of them.
// Nothing is done for a relayed request, or if the caller or the deadline ended the
// attempt.
func (a *attempt) probeEndpoint(ctx context.Context) {
	cause := context.Cause(ctx)
	if a.placement == nil || cause != nil && !errors.Is(cause, errStalled) {
		return
	}
	a.conns.CloseIdle(a.address)
	endpoint, address, service, dialedAt := a.placement.Endpoint, a.address, a.req.service, time.Now()
	a.Go("probeEndpoint", func() {
		err := a.conns.Preconnect(context.WithoutCancel(ctx), address, a.maxConns(service), cwconn.DialTimeout)
		if err == nil || errors.Is(err, cwconn.ErrConnLimit) {
			return
		}
		a.logEndpointLost(err)
		a.mu.Lock()
		defer a.mu.Unlock()
		if errors.Is(err, cwconn.ErrNoAnswer) {
			endpoint.MarkSilent(dialedAt, time.Now())
		} else {
			endpoint.MarkUnreachable(time.Now())
		}
		a.startRedialing(endpoint, service)
	})
}

// handleRejection handles a response which states that the request was not run.
func (a *attempt) handleRejection(ctx context.Context, response *cwconn.Response) result {
	response.Discard()
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.NotRun)
	a.recordEnd(ctx, cwplacement.Rejected)
	return result{notRun: true, err: fmt.Errorf("%s rejected the request with status %d", a.address, response.StatusCode)}
}

// failUnknown handles an attempt that may have run and has no usable response.
func (a *attempt) failUnknown(ctx context.Context, err error) result {
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.Unknown)
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err}
}

// handleErrorResponse keeps an endpoint's error response, to be forwarded if no later
// attempt succeeds.
func (a *attempt) handleErrorResponse(ctx context.Context, response *cwconn.Response) result {
	body, err := a.readBody(response)
	if err != nil {
		return a.failUnknown(ctx, err)
	}
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.Ran)
	a.recordEnd(ctx, cwplacement.Failed)
	a.req.releaseErrorResponse()
	a.req.errorResponse = &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	return result{err: fmt.Errorf("%s responded with status %d", a.address, response.StatusCode)}
}

// readBody reads the body of the response, up to cwlimit.MaxResponseBytes and within the
// budget of all responses. The caller must release it.
func (a *attempt) readBody(response *cwconn.Response) (*cwlimit.Buffer, error) {
	return a.Budget.ReadAll(response, a.address, response.ContentLength, cwlimit.MaxResponseBytes)
}
