package cwgate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// handleCallError handles a call that brought no answer.
func (a *attempt) handleCallError(ctx context.Context, err error) result {
	var failed *cwconn.CallError
	errors.As(err, &failed)
	a.excludePlace()
	if !failed.Sent {
		end := cwplacement.Unreachable
		if errors.Is(err, cwconn.ErrConnLimit) {
			end = cwplacement.Rejected
		}
		a.recordEnd(ctx, end)
		if a.exitDomain != "" && ctx.Err() == nil {
			a.reportExitFailure()
		}
		a.req.mergeOutcome(cwanswer.NotRun)
		return result{notSent: true, notRun: true, err: err}
	}
	a.req.possibleRuns++
	a.req.mergeOutcome(cwanswer.Unknown)
	a.probeEndpoint(ctx)
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err}
}

// probeEndpoint finds out whether an endpoint that broke off an answer is still there. Its
// other connections are dropped: what cut one of them may have cut them all.
func (a *attempt) probeEndpoint(ctx context.Context) {
	cause := context.Cause(ctx)
	if a.ticket == nil || cause != nil && !errors.Is(cause, errStalled) {
		return
	}
	a.conns.CloseIdle(a.address)
	endpoint, address, most := a.ticket.Endpoint, a.address, a.maxConns()
	go func() {
		err := a.conns.Preconnect(context.WithoutCancel(ctx), address, most)
		if err == nil || errors.Is(err, cwconn.ErrConnLimit) {
			return
		}
		a.Log.Warn("endpoint lost", zap.String("endpoint", endpoint.ID), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		endpoint.MarkUnreachable(time.Now())
	}()
}

// handleRejection handles an answer which says that the request has not run.
func (a *attempt) handleRejection(ctx context.Context, answer *cwconn.Response) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDiscardedBytes))
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.NotRun)
	a.recordEnd(ctx, cwplacement.Rejected)
	return result{notRun: true, err: fmt.Errorf("%s rejected the request with %d", a.address, answer.StatusCode)}
}

// maxDiscardedBytes bounds the body of a rejection, which nobody reads.
const maxDiscardedBytes = 64 << 10

// failUnknown handles an attempt that may have run and brought no answer.
func (a *attempt) failUnknown(ctx context.Context, err error) result {
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.Unknown)
	a.recordEnd(ctx, cwplacement.Failed)
	return result{err: err}
}

// handleErrorResponse keeps an endpoint's own failure, to be passed on if no other try is made.
func (a *attempt) handleErrorResponse(ctx context.Context, answer *cwconn.Response) result {
	body, err := a.readBody(answer)
	if err != nil {
		return a.failUnknown(ctx, err)
	}
	a.excludePlace()
	a.req.mergeOutcome(cwanswer.Ran)
	a.recordEnd(ctx, cwplacement.Failed)
	a.req.errorResponse = &bufferedResponse{status: answer.StatusCode, header: answer.Header, body: body}
	return result{err: fmt.Errorf("%s answered %d", a.address, answer.StatusCode)}
}

func (a *attempt) readBody(answer *cwconn.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", a.address, err)
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, nil
}
