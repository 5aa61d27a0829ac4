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
	copyBytes = 32 << 10
	// eventBytes is enough for some events. A stream holds its buffer while it
	// waits for the next token, so this is memory for each open stream.
	eventBytes = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return make([]byte, copyBytes) }}

// deliver passes the answer on. A stream that breaks is resumed where the engine
// supports that.
func (c *endpointCall) deliver(ctx context.Context) result {
	events := strings.HasPrefix(c.resp.Header.Get("Content-Type"), "text/event-stream")
	engine := c.job.Service.Kind == cwservice.Engine
	if events && engine {
		c.tracker = &cwevent.Splitter{}
		c.followed.Store(c.resp)
	}
	for resumed := 0; ; resumed++ {
		err := c.copyBody(events)
		if err == nil && c.tracker != nil && !c.tracker.Done {
			err = errNoEndMark
		}
		if err == nil {
			return result{outcome: cwanswer.Ran}
		}
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errSilent) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if c.tracker == nil || !c.job.Service.Resume || resumed >= maxResumes || !c.resume(ctx) {
			c.cancelAtEngine()
			return result{outcome: cwanswer.Unknown, err: err, elsewhere: true, blame: true}
		}
	}
}

const maxResumes = 3

// resume opens the stream again behind the last whole event.
func (c *endpointCall) resume(ctx context.Context) bool {
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
	c.followed.Store(resp)
	c.tracker.DropPartial()
	c.quiet.progress()
	return true
}

func (c *endpointCall) copyBody(flush bool) error {
	var buf []byte
	if c.tracker != nil {
		buf = make([]byte, eventBytes)
	} else {
		buf = copyBuffers.Get().([]byte)
		defer copyBuffers.Put(buf)
	}
	flush = flush || c.resp.ContentLength < 0
	for {
		n, err := c.resp.Body.Read(buf)
		if n > 0 {
			c.quiet.progress()
			if err := c.pass(buf[:n], flush); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.passRest()
		}
		if err != nil {
			return fmt.Errorf("read answer of %s: %w", c.choice.Endpoint.Address, err)
		}
	}
}

func (c *endpointCall) pass(p []byte, flush bool) error {
	if c.tracker != nil {
		p = c.tracker.Push(p)
	}
	if len(p) == 0 {
		return nil
	}
	if err := c.begin(); err != nil {
		return err
	}
	if _, err := c.out.Write(p); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	if flush {
		c.out.Flush()
	}
	return nil
}

// passRest ends the body. An answer without a body begins here.
func (c *endpointCall) passRest() error {
	if c.tracker != nil {
		if rest := c.tracker.TakePartial(); len(rest) > 0 && !c.tracker.Done {
			return errNoEndMark
		}
		return nil
	}
	return c.begin()
}

// begin sends status and header before the first byte of the body, so that an
// attempt that fails earlier can still be made elsewhere.
func (c *endpointCall) begin() error {
	if c.out.started.Load() {
		return nil
	}
	now := time.Now()
	c.firstAt = now
	c.served.FirstByte = now.Sub(c.job.Arrived)
	c.served.Status = c.resp.StatusCode
	c.mu.Lock()
	c.choice.Endpoint.OnFirstToken(&c.choice, now.Sub(c.start), now)
	c.mu.Unlock()
	header := answerHeader(c.resp.Header)
	if c.tracker != nil {
		// With a length, a stream without its end mark would look whole.
		header.Del("Content-Length")
	}
	return c.out.Start(c.resp.StatusCode, header, c.served)
}
