package cwdispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	copyBufferBytes = 32 << 10
	// eventBufferBytes is the size of the read buffer of an engine's event stream,
	// enough for a few events. It is small because each open stream keeps its buffer
	// while it waits for the next token.
	eventBufferBytes = 2 << 10
)

var copyBufferPool = sync.Pool{New: func() any { return make([]byte, copyBufferBytes) }}

// deliver copies the response to the sink. A broken event stream of an engine is
// resumed up to maxResumes times if the service supports it.
func (a *endpointAttempt) deliver(ctx context.Context) attemptResult {
	isEventStream := strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream")
	isEngine := a.job.Service.Kind == cwservice.Engine
	if isEventStream && isEngine {
		memory := a.Budget.NewReservation()
		defer memory.Release()
		a.splitter = &cwevent.Splitter{Peer: a.choice.Endpoint.Address, Memory: memory}
		a.eventStream.Store(a.resp)
	}
	for resumed := 0; ; resumed++ {
		err := a.copyBody(isEventStream)
		if err == nil && a.splitter != nil && !a.splitter.Done {
			err = errStreamIncomplete
		}
		if err == nil {
			return attemptResult{outcome: cwanswer.Ran}
		}
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errConnectionStalled) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if a.splitter == nil || !a.job.Service.Resume || resumed >= maxResumes || !a.resume(ctx) {
			a.cancelOnEngine()
			return attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
		}
	}
}

const maxResumes = 3

// resume reopens the event stream after the last complete event. It returns false
// if the attempt was cancelled or the engine does not reopen the stream.
func (a *endpointAttempt) resume(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	resp, err := a.endpoints.Resume(ctx, a.choice.Endpoint.Address, a.attemptID, a.splitter.LastEventID)
	if err != nil {
		a.Log.Sugar().Warnw("stream not resumed", "request", a.job.RequestID, "error", err)
		return false
	}
	a.Metrics.Counter("streams_resumed").Inc(1)
	_ = a.resp.Body.Close()
	a.resp = resp
	a.eventStream.Store(resp)
	a.splitter.DropPartial()
	a.progress.recordProgress()
	return true
}

// copyBody copies the body of the current response to the sink. If flush is set or
// the body has no known length, each chunk is flushed.
func (a *endpointAttempt) copyBody(flush bool) error {
	var buf []byte
	if a.splitter != nil {
		buf = make([]byte, eventBufferBytes)
	} else {
		buf = copyBufferPool.Get().([]byte)
		defer copyBufferPool.Put(buf)
	}
	flush = flush || a.resp.ContentLength < 0
	for {
		n, err := a.resp.Body.Read(buf)
		if n > 0 {
			a.progress.recordProgress()
			if err := a.writeChunk(buf[:n], flush); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return a.finishBody()
		}
		if err != nil {
			return fmt.Errorf("read response of %s: %w", a.choice.Endpoint.Address, err)
		}
	}
}

func (a *endpointAttempt) writeChunk(p []byte, flush bool) error {
	if a.splitter != nil {
		var err error
		if p, err = a.splitter.Push(p); err != nil {
			return err
		}
		if len(p) > 0 {
			defer a.splitter.ReleaseEvents()
		}
	}
	if len(p) == 0 {
		return nil
	}
	if err := a.startResponse(); err != nil {
		return err
	}
	if _, err := a.sink.Write(p); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if flush {
		a.sink.Flush()
	}
	return nil
}

// finishBody checks that an engine's event stream did not end within an event. For
// any other response, it sends status and header if there was no body.
func (a *endpointAttempt) finishBody() error {
	if a.splitter != nil {
		if partial := a.splitter.TakePartial(); len(partial) > 0 && !a.splitter.Done {
			return errStreamIncomplete
		}
		return nil
	}
	return a.startResponse()
}

// startResponse sends status and header right before the first byte of the body,
// and records the time to that byte. An attempt that fails earlier can still be
// retried elsewhere.
func (a *endpointAttempt) startResponse() error {
	if a.sink.hasStarted.Load() {
		return nil
	}
	now := time.Now()
	a.firstByteAt = now
	a.result.TimeToFirstByte = now.Sub(a.job.ArrivedAt)
	a.result.Status = a.resp.StatusCode
	a.mu.Lock()
	a.choice.Endpoint.OnFirstToken(&a.choice, now.Sub(a.startedAt), now)
	a.mu.Unlock()
	header := filterResponseHeader(a.resp.Header)
	if a.splitter != nil {
		// With a length, a stream that lacks its final event would look complete.
		header.Del("Content-Length")
	}
	return a.sink.Start(a.resp.StatusCode, header, a.result)
}
