package cwconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

const (
	// readBufferBytes holds a head or some events of a stream.
	readBufferBytes = 4 << 10
	// maxSkippedBodyBytes bounds the body of an answer that belongs to another request.
	maxSkippedBodyBytes = 256 << 10
	// maxSkippedResponses bounds the answers that are skipped before one call's own.
	maxSkippedResponses = 2
	// defaultIdleTimeout is how long a connection is kept if the peer names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the time that a peer names: a request must not cross
	// the close.
	idleMargin = time.Second
)

// conn is one connection. At most one call uses it at a time.
type conn struct {
	net.Conn
	pool            *addressPool
	reader          *bufio.Reader
	used            bool
	cancelCloseHook func() bool
	// hasSkippedResponse is set once an answer of another request arrived here.
	hasSkippedResponse bool
	idleUntil          time.Time
}

// isReusable reports whether an idle connection can take another call.
func (c *conn) isReusable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && cwnet.IsIdleConnUsable(c.Conn)
}

// do sends a call and reads the head of its answer. The connection closes when ctx
// ends, which also ends the reading of the body.
func (c *conn) do(ctx context.Context, call *Call) (*Response, error) {
	reused := c.used
	c.used = true
	c.cancelCloseHook = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if n, err := c.send(call); err != nil {
		c.finish(false, nil)
		return nil, &CallError{Step: "send to", Peer: call.Address, Sent: n > 0, Reused: reused, Err: withContextCause(ctx, err)}
	}
	resp, err := c.readMatchingHead(call)
	if err != nil {
		c.finish(false, nil)
		return nil, &CallError{Step: "read answer of", Peer: call.Address, Sent: true, Reused: reused, Err: withContextCause(ctx, err)}
	}
	return &Response{Response: resp, Reused: reused, conn: c}, nil
}

// withContextCause prefers the reason why ctx ended to the error of a closed connection.
func withContextCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

func (c *conn) send(call *Call) (int64, error) {
	if len(call.Body) == 0 {
		n, err := c.Write(call.Head)
		return int64(n), err
	}
	buffers := net.Buffers{call.Head, call.Body}
	return buffers.WriteTo(c.Conn)
}

func (c *conn) readMatchingHead(call *Call) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxSkippedResponses + 1 {
		resp, err := c.readFinalHead(req)
		if err != nil {
			return nil, err
		}
		if call.MatchesResponse == nil || call.MatchesResponse(resp.StatusCode, resp.Header.Get) {
			return resp, nil
		}
		c.hasSkippedResponse = true
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes)); err != nil || n == maxSkippedBodyBytes {
			return nil, fmt.Errorf("skip the answer to another request: %w", err)
		}
	}
	return nil, fmt.Errorf("only answers to other requests came")
}

// readFinalHead reads a head and passes over the informational ones.
func (c *conn) readFinalHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// finish ends a call. A connection with anything unexpected is not used again.
func (c *conn) finish(keep bool, header http.Header) {
	stopped := c.cancelCloseHook == nil || c.cancelCloseHook()
	c.cancelCloseHook = nil
	if keep && stopped && !c.hasSkippedResponse && c.reader.Buffered() == 0 {
		c.idleUntil = time.Now().Add(parseIdleTimeout(header))
		c.pool.putIdle(c)
		return
	}
	_ = c.Conn.Close()
	c.pool.releaseConn()
}

// parseIdleTimeout returns how long the connection may be kept, from the field in which
// the peer says when it closes.
func parseIdleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}
