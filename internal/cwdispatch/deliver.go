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
	// eventBufferBytes is enough for some events. A stream holds its buffer while it
	// waits for the next token, so this is memory for each open stream.
	eventBufferBytes = 2 << 10
)

var copyBufferPool = sync.Pool{New: func() any { return make([]byte, copyBufferBytes) }}

// deliver passes the answer on. A stream that breaks is resumed where the engine
// supports that.
func (c *endpointAttempt) deliver(ctx context.Context) attemptResult {
	events := strings.HasPrefix(c.resp.Header.Get("Content-Type"), "text/event-stream")
	engine := c.job.Service.Kind == cwservice.Engine
	if events && engine {
		c.tracker = &cwevent.Splitter{}
		c.eventStream.Store(c.resp)
	}
	for resumed := 0; ; resumed++ {
		err := c.copyBody(events)
		if err == nil && c.tracker != nil && !c.tracker.Done {
			err = errStreamIncomplete
		}
		if err == nil {
			return attemptResult{outcome: cwanswer.Ran}
		}
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errConnectionStalled) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if c.tracker == nil || !c.job.Service.Resume || resumed >= maxResumes || !c.resume(ctx) {
			c.cancelAtEngine()
			return attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true, isEndpointFault: true}
		}
	}
}

const maxResumes = 3

// resume opens the stream again behind the last whole event.
func (c *endpointAttempt) resume(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	resp, err := c.endpoints.Resume(ctx, c.choice.Endpoint.Address, c.attemptID, c.tracker.LastEventID)
	if err != nil {
		c.Log.Sugar().Warnw("stream not resumed", "request", c.job.RequestID, "error", err)
		return false
	}
	c.Metrics.Counter("streams_resumed").Inc(1)
	_ = c.resp.Body.Close()
	c.resp = resp
	c.eventStream.Store(resp)
	c.tracker.DropPartial()
	c.progress.recordProgress()
	return true
}

func (c *endpointAttempt) copyBody(flush bool) error {
	var buf []byte
	if c.tracker != nil {
		buf = make([]byte, eventBufferBytes)
	} else {
		buf = copyBufferPool.Get().([]byte)
		defer copyBufferPool.Put(buf)
	}
	flush = flush || c.resp.ContentLength < 0
	for {
		n, err := c.resp.Body.Read(buf)
		if n > 0 {
			c.progress.recordProgress()
			if err := c.writeChunk(buf[:n], flush); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.finishBody()
		}
		if err != nil {
			return fmt.Errorf("read answer of %s: %w", c.choice.Endpoint.Address, err)
		}
	}
}

func (c *endpointAttempt) writeChunk(p []byte, flush bool) error {
	if c.tracker != nil {
		p = c.tracker.Push(p)
	}
	if len(p) == 0 {
		return nil
	}
	if err := c.startResponse(); err != nil {
		return err
	}
	if _, err := c.sink.Write(p); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	if flush {
		c.sink.Flush()
	}
	return nil
}

// finishBody ends the body. An answer without a body begins here.
func (c *endpointAttempt) finishBody() error {
	if c.tracker != nil {
		if rest := c.tracker.TakePartial(); len(rest) > 0 && !c.tracker.Done {
			return errStreamIncomplete
		}
		return nil
	}
	return c.startResponse()
}

// startResponse sends status and header before the first byte of the body, so that an
// attempt that fails earlier can still be made elsewhere.
func (c *endpointAttempt) startResponse() error {
	if c.sink.hasStarted.Load() {
		return nil
	}
	now := time.Now()
	c.firstByteAt = now
	c.result.TimeToFirstByte = now.Sub(c.job.ArrivedAt)
	c.result.Status = c.resp.StatusCode
	c.mu.Lock()
	c.choice.Endpoint.OnFirstToken(&c.choice, now.Sub(c.startedAt), now)
	c.mu.Unlock()
	header := filterResponseHeader(c.resp.Header)
	if c.tracker != nil {
		// With a length, a stream without its end mark would look whole.
		header.Del("Content-Length")
	}
	return c.sink.Start(c.resp.StatusCode, header, c.result)
}
