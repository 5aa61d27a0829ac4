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

// sendFailed handles a call that brought no answer.
func (a *attempt) sendFailed(ctx context.Context, err error) result {
	var failed *cwconn.SendError
	errors.As(err, &failed)
	a.avoid()
	if !failed.Sent {
		end := cwplacement.Unreachable
		if errors.Is(err, cwconn.ErrNoConnection) {
			end = cwplacement.Rejected
		}
		a.end(ctx, end)
		if a.exit != "" && ctx.Err() == nil {
			a.noteExitFailed()
		}
		a.job.note(cwanswer.NotRun)
		return result{notSent: true, notRun: true, err: err}
	}
	a.job.runs++
	a.job.note(cwanswer.Unknown)
	a.verify(ctx)
	a.end(ctx, cwplacement.Failed)
	return result{err: err}
}

// verify finds out whether an endpoint that broke off an answer is still there. Its
// other connections are dropped: what cut one of them may have cut them all.
func (a *attempt) verify(ctx context.Context) {
	cause := context.Cause(ctx)
	if a.ticket == nil || cause != nil && !errors.Is(cause, errStalled) {
		return
	}
	a.conns.CloseIdle(a.peer)
	endpoint, address, most := a.ticket.Endpoint, a.peer, a.maxConns()
	go func() {
		err := a.conns.Warm(context.WithoutCancel(ctx), address, most)
		if err == nil || errors.Is(err, cwconn.ErrNoConnection) {
			return
		}
		a.Log.Warn("endpoint lost", zap.String("endpoint", endpoint.ID), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		endpoint.MarkUnreachable(time.Now())
	}()
}

// rejected handles an answer which says that the request has not run.
func (a *attempt) rejected(ctx context.Context, answer *cwconn.Answer) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxSkipBytes))
	a.avoid()
	a.job.note(cwanswer.NotRun)
	a.end(ctx, cwplacement.Rejected)
	return result{notRun: true, err: fmt.Errorf("%s rejected the request with %d", a.peer, answer.StatusCode)}
}

// maxSkipBytes bounds the body of a rejection, which nobody reads.
const maxSkipBytes = 64 << 10

// broken handles an attempt that may have run and brought no answer.
func (a *attempt) broken(ctx context.Context, err error) result {
	a.avoid()
	a.job.note(cwanswer.Unknown)
	a.end(ctx, cwplacement.Failed)
	return result{err: err}
}

// failure keeps an endpoint's own failure, to be passed on if no other try is made.
func (a *attempt) failure(ctx context.Context, answer *cwconn.Answer) result {
	body, err := a.readWhole(answer)
	if err != nil {
		return a.broken(ctx, err)
	}
	a.avoid()
	a.job.note(cwanswer.Ran)
	a.end(ctx, cwplacement.Failed)
	a.job.failure = &wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}
	return result{err: fmt.Errorf("%s answered %d", a.peer, answer.StatusCode)}
}

func (a *attempt) readWhole(answer *cwconn.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", a.peer, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, errOversized
	}
	return body, nil
}
