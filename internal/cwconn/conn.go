package cwconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

const (
	// readBufferBytes is enough for a response head or some events of a stream.
	readBufferBytes = 4 << 10
	// maxSkippedBodyBytes is the limit for the body of a response to another request. A
	// body of this size or more fails the call.
	maxSkippedBodyBytes = 256 << 10
	// maxSkippedBytes is the limit for the bodies of all responses to other requests within a call: some
	// of the largest.
	maxSkippedBytes = 4 * maxSkippedBodyBytes
	// maxSkippedResponses is the largest number of responses to other requests that one call skips: a
	// copy of each response before it on the connection. The call's deadline ends it sooner.
	maxSkippedResponses = MaxCallsPerConn
	// defaultIdleTimeout is how long an idle connection is kept if the peer states no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the peer states, so that no request
	// is sent while the peer closes the connection.
	idleMargin = time.Second
	// MaxCallsPerConn is the number of calls with an identifier after which a connection is closed. It
	// bounds the identifiers that it remembers, 8 bytes each; one new connection in so many calls
	// costs little.
	MaxCallsPerConn = 256
)

// ErrOnlyOthers means that a call ended because only responses to other requests came.
var ErrOnlyOthers = errors.New("received only responses to other requests")

// conn is a connection. At most one call uses it at a time.
type conn struct {
	net.Conn
	pool *addressPool
	// headReader reads from the connection, and reader buffers what it reads.
	headReader *cwlimit.HeadReader
	reader     *bufio.Reader
	// budget is what is kept of responses counts in; it may be nil.
	budget *cwlimit.Budget
	// openedAt is when the connection was opened.
	openedAt time.Time
	// used is set after the first call.
	used bool
	// carried are the identifiers of the calls so far.
	carried carriedIDs
	// cancelCloseHook cancels the closing of the connection at the end of the call's
	// context. It returns false if the context has already ended.
	cancelCloseHook func() bool
	// isAwaitingHead is set while a call that keeps its connection waits for its response to begin.
	isAwaitingHead atomic.Bool
	// hasSkippedResponse is set after a response to another request.
	hasSkippedResponse bool
	// skippedResponses and skippedBytes are those skipped in the present call, which ends the connection.
	skippedResponses int
	skippedBytes     int64
	// hasUnnamedResponse is set after a response that named no request.
	hasUnnamedResponse bool
	// hasReadDeadline is set if a time limit for reading must be removed before the next call.
	hasReadDeadline bool
	// refusalBody is the body of a refusal that had to be confirmed; nil if there is none.
	refusalBody *cwlimit.Buffer
	// idleSince is when the connection became idle, and idleUntil when the idle timeout passes.
	idleSince, idleUntil time.Time
}

// isReusable reports whether an idle connection can be used for another call.
func (c *conn) isReusable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && cwnet.IsIdleConnUsable(c.Conn)
}

// mayCarry reports whether a response to the call can be told from all others on the connection.
func (c *conn) mayCarry(call *Call) bool {
	return !(c.hasUnnamedResponse && call.NeedsNamedResponses) && !c.carried.has(call.ID)
}

// do sends a call and reads the head of its response. The connection is closed when ctx
// ends, which also ends the reading of the body. A call that keeps its connection is only
// interrupted while it waits for the response to begin.
func (c *conn) do(ctx context.Context, call *Call) (*Response, error) {
	reused := c.used
	c.used = true
	c.pool.beginUse(c)
	c.carried.add(call.ID)
	c.cancelCloseHook = context.AfterFunc(ctx, c.interrupt)
	isKept := false
	defer func() {
		if !isKept {
			c.finish(false, nil)
		}
	}()
	if n, err := c.send(call); err != nil {
		return nil, &CallError{Step: "send to", Peer: call.Address, Sent: n > 0, Reused: reused, Err: withContextCause(ctx, err)}
	}
	if call.KeepsPending {
		if err := c.awaitHead(); errors.Is(err, os.ErrDeadlineExceeded) {
			isKept = true
			pending := &Pending{conn: c, call: call, reused: reused}
			return nil, &CallError{Step: "read response from", Peer: call.Address, Sent: true, Reused: reused, Pending: pending, Err: withContextCause(ctx, err)}
		}
	}
	response, err := c.readResponse(ctx, call, reused)
	isKept = err == nil
	return response, err
}

// interrupt ends the waiting for a response that has not begun, or else closes the connection.
func (c *conn) interrupt() {
	if c.isAwaitingHead.Load() {
		_ = c.SetReadDeadline(time.Now())
		return
	}
	c.abort()
}

// abort closes the connection and discards what has not been sent. Otherwise a request that its
// caller has given up would reach the peer when a partition of the network ends.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Conn.Close()
}

// awaitHead waits until the first byte of the response has arrived. The error is
// os.ErrDeadlineExceeded if it was interrupted.
func (c *conn) awaitHead() error {
	c.isAwaitingHead.Store(true)
	defer c.isAwaitingHead.Store(false)
	_, err := c.reader.Peek(1)
	return err
}

// readResponse reads the head of the call's response. The caller ends the call without one.
func (c *conn) readResponse(ctx context.Context, call *Call, reused bool) (*Response, error) {
	resp, err := c.readMatchingHead(call, reused)
	if err != nil {
		return nil, &CallError{Step: "read response from", Peer: call.Address, Sent: true, Reused: reused, Err: withContextCause(ctx, cwlimit.ShortenError(err))}
	}
	return &Response{Response: resp, Reused: reused, conn: c}, nil
}

// withContextCause adds the cause to err if ctx has ended: err is then only the error of a
// connection that was closed for that reason.
func withContextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// send writes the request and returns the number of bytes written.
func (c *conn) send(call *Call) (int64, error) {
	head := call.EncodeHead()
	if len(call.Body) == 0 {
		n, err := c.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, call.Body}
	return buffers.WriteTo(c.Conn)
}

// readMatchingHead reads the head of the call's response and skips responses to other
// requests. A response that names none is the call's only if nothing else can have sent it.
func (c *conn) readMatchingHead(call *Call, reused bool) (*http.Response, error) {
	req := &http.Request{Method: call.Method}
	for {
		resp, err := c.readFinalHead(call.Address, req)
		if err != nil {
			return nil, err
		}
		match := MatchByName
		if call.MatchResponse != nil {
			match = call.MatchResponse(resp.StatusCode, resp.Header.Get)
		}
		if match == MatchByOrder {
			c.hasUnnamedResponse = true
			if c.needsCheck(call, reused) {
				return c.confirm(call, resp)
			}
		}
		if match != MatchNone {
			return resp, nil
		}
		if err = c.skip(call, resp); err != nil {
			return nil, err
		}
	}
}

// skip reads a response to another request to its end, within the limits for the call.
func (c *conn) skip(call *Call, resp *http.Response) error {
	c.recordSkipped(call, resp)
	c.skippedResponses++
	if c.skippedResponses > maxSkippedResponses {
		return ErrOnlyOthers
	}
	n, err := skipBody(call, resp)
	if err != nil {
		return err
	}
	c.skippedBytes += n
	if c.skippedBytes > maxSkippedBytes {
		return &cwlimit.Error{Step: "skip responses to other requests", Peer: call.Address, LimitBytes: maxSkippedBytes}
	}
	return nil
}

// recordSkipped records that a response belongs to another request.
func (c *conn) recordSkipped(call *Call, resp *http.Response) {
	c.hasSkippedResponse = true
	if call.OnSkip != nil {
		call.OnSkip(resp.StatusCode, resp.Header.Get)
	}
}

// skipBody reads the body of a response that is not the call's, and returns its length in bytes.
func skipBody(call *Call, resp *http.Response) (int64, error) {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes))
	if err != nil {
		return n, fmt.Errorf("skip response to another request: %w", err)
	}
	if n == maxSkippedBodyBytes {
		return n, &cwlimit.Error{Step: "skip response to another request", Peer: call.Address, LimitBytes: maxSkippedBodyBytes}
	}
	return n, nil
}

// readFinalHead reads a response head and skips informational (1xx) ones, of which the request asks for
// none that ends it. Together they are limited to cwlimit.MaxHeadBytes.
func (c *conn) readFinalHead(address string, req *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.headReader.BeginHead(buffered)
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			c.headReader.EndHead(nil)
			return nil, err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if err := cwlimit.CheckStatus(address, resp.StatusCode); err != nil {
			c.headReader.EndHead(nil)
			return nil, err
		}
		c.headReader.EndHead(resp.Header)
		return resp, nil
	}
}

// finish ends a call. The connection is closed unless keep is set, and also if it has
// skipped a response, has unread bytes, has carried MaxCallsPerConn calls or was closed by the end
// of the context.
func (c *conn) finish(keep bool, header http.Header) {
	stopped := c.cancelCloseHook == nil || c.cancelCloseHook()
	c.cancelCloseHook = nil
	c.releaseMemory()
	if keep && stopped && !c.hasSkippedResponse && !c.carried.isFull() && c.reader.Buffered() == 0 {
		if c.hasReadDeadline {
			_ = c.SetReadDeadline(time.Time{})
			c.hasReadDeadline = false
		}
		c.idleUntil = time.Now().Add(parseIdleTimeout(header))
		c.pool.endUse(c, false)
		c.pool.putIdle(c)
		return
	}
	isEstablished, _ := cwnet.IsEstablished(c.Conn)
	c.pool.endUse(c, stopped && !isEstablished)
	if stopped {
		_ = c.Conn.Close()
	} else {
		c.abort()
	}
	c.pool.releaseConn()
}

// releaseMemory returns what is kept of the call's response to the budget.
func (c *conn) releaseMemory() {
	c.headReader.Release()
	if c.refusalBody != nil {
		c.refusalBody.Release()
		c.refusalBody = nil
	}
}

// keepUnused makes a connection that was opened available to the next call.
func (c *conn) keepUnused() {
	c.idleUntil = time.Now().Add(defaultIdleTimeout)
	c.pool.putIdle(c)
}

// parseIdleTimeout returns how long an idle connection is kept: the timeout in the peer's
// Keep-Alive field minus idleMargin, or defaultIdleTimeout without one.
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
