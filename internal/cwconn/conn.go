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
	// maxSkipBytes bounds the body of an answer that belongs to another request.
	maxSkipBytes = 256 << 10
	// maxSkipped bounds the answers that are skipped before one call's own.
	maxSkipped = 2
	// defaultIdle is how long a connection is kept if the peer names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that a peer names: a request must not cross
	// the close.
	idleMargin = time.Second
)

// conn is one connection. At most one call uses it at a time.
type conn struct {
	net.Conn
	target *target
	reader *bufio.Reader
	used   bool
	stop   func() bool
	// skipped is set once an answer of another request arrived here.
	skipped   bool
	idleUntil time.Time
}

// reusable reports whether an idle connection can take another call.
func (c *conn) reusable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && cwnet.Quiet(c.Conn)
}

// do sends a call and reads the head of its answer. The connection closes when ctx
// ends, which also ends the reading of the body.
func (c *conn) do(ctx context.Context, call *Call) (*Answer, error) {
	reused := c.used
	c.used = true
	c.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if n, err := c.send(call); err != nil {
		c.finish(false, nil)
		return nil, &SendError{Step: "send to", Peer: call.Address, Sent: n > 0, Reused: reused, Err: cause(ctx, err)}
	}
	resp, err := c.readHead(call)
	if err != nil {
		c.finish(false, nil)
		return nil, &SendError{Step: "read answer of", Peer: call.Address, Sent: true, Reused: reused, Err: cause(ctx, err)}
	}
	return &Answer{Response: resp, Reused: reused, conn: c}, nil
}

// cause prefers the reason why ctx ended to the error of a closed connection.
func cause(ctx context.Context, err error) error {
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

func (c *conn) readHead(call *Call) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxSkipped + 1 {
		resp, err := c.nextHead(req)
		if err != nil {
			return nil, err
		}
		if call.Own == nil || call.Own(resp.StatusCode, resp.Header.Get) {
			return resp, nil
		}
		c.skipped = true
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipBytes)); err != nil || n == maxSkipBytes {
			return nil, fmt.Errorf("skip the answer to another request: %w", err)
		}
	}
	return nil, fmt.Errorf("only answers to other requests came")
}

// nextHead reads a head and passes over the informational ones.
func (c *conn) nextHead(req *http.Request) (*http.Response, error) {
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
	stopped := c.stop == nil || c.stop()
	c.stop = nil
	if keep && stopped && !c.skipped && c.reader.Buffered() == 0 {
		c.idleUntil = time.Now().Add(idleTime(header))
		c.target.put(c)
		return
	}
	_ = c.Conn.Close()
	c.target.drop()
}

// idleTime returns how long the connection may be kept, from the field in which
// the peer says when it closes.
func idleTime(h http.Header) time.Duration {
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
	return defaultIdle
}
