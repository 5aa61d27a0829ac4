package cwserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// conn is an accepted connection. It records whether the peer is owed a response.
type conn struct {
	net.Conn
	server   *Server
	openedAt time.Time

	// mu guards the fields below.
	mu    sync.Mutex
	state http.ConnState
	// idleSince is when the last response ended.
	idleSince time.Time
	// responseCount is the number of requests that were answered.
	responseCount int
	// requestBytes is the number of bytes read of the request in progress, and requestAt the
	// time of the first of them. hasResponded is set with the first byte of the response.
	requestBytes int
	requestAt    time.Time
	hasResponded bool
	// framer finds the end of the request, hasEnded is set at the end, and nextBytes is the
	// number of bytes read of the request after it.
	framer    requestFramer
	hasEnded  bool
	nextBytes int
	// unread are bytes of the next request that were read from the socket together with the
	// request in progress.
	unread []byte
	// isPeerGone is set if a read or write failed, other than by its deadline, with the first
	// error in peerErr. isClosed is set by Close.
	isPeerGone, isClosed bool
	peerErr              error
	// isWriteFailed is set if bytes of a response could not be sent.
	isWriteFailed bool
	// isInHandler is set while a handler has a request, and after it has panicked. requestID
	// identifies the request, if known.
	isInHandler bool
	requestID   string
	// endReason is why the connection is about to end without a complete response, if known.
	endReason endReason
	// isClosing is set by closeWhenUnused, and isReadAborted if it set the deadline of a
	// waiting read to the past.
	isClosing, isReadAborted bool
	// isRefused is set if the connection has sent a response of its own, as the last one.
	isRefused bool
	// isExcess is set if there were too many connections when this one was accepted.
	isExcess bool
	// lingers is set by lingerOnClose, for the request in progress.
	lingers bool
	// headClaim is the memory that the head of the request has claimed, and headCost what it takes.
	// isHeadRefused is set if that is not to be had.
	headClaim     *cwlimit.RequestClaim
	headCost      int64
	isHeadRefused bool
}

// Read reads from the connection and records the bytes as part of a request. It returns
// io.EOF instead of waiting for another request if the connection is to be closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		deadline, hasDeadline := c.requestDeadline()
		if hasDeadline {
			// If it fails, the read fails too.
			_ = c.Conn.SetReadDeadline(deadline)
		}
		// The deadline just set may have replaced that of closeWhenUnused.
		if c.isDone() {
			return 0, io.EOF
		}
		n, err := c.readUnread(p), error(nil)
		if n == 0 {
			n, err = c.Conn.Read(p)
		}
		if hasDeadline && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if c.isExtended(deadline) {
				continue
			}
			n, err = c.readWaiting(p, err)
		}
		n = c.recordRead(p[:n], err)
		if hasDeadline && errors.Is(err, os.ErrDeadlineExceeded) {
			c.refuseLateHead()
		}
		if c.refuseCostlyHead() {
			return 0, io.EOF
		}
		return n, err
	}
}

// lateHeadResponse states that a request was not run because its head was not sent in time.
const lateHeadResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 9\r\nConnection: close\r\n\r\nlateHead\n"

// refuseLateHead responds to a request whose head is incomplete. It does nothing if no request
// has begun. net/http responds to some of these with status 400, which the peer does not get.
func (c *conn) refuseLateHead() {
	c.mu.Lock()
	isLate := c.requestBytes > 0 && !c.hasResponded
	c.isRefused = c.isRefused || isLate
	c.hasResponded = c.hasResponded || isLate
	fields := []zap.Field{
		zap.String("server", c.server.name), zap.Stringer("remote", c.RemoteAddr()), zap.Int("bytes", c.requestBytes),
		zap.Int("responses", c.responseCount), zap.Duration("open", time.Since(c.openedAt)),
	}
	c.mu.Unlock()
	if !isLate {
		return
	}
	c.server.Metrics.Tagged(map[string]string{"server": c.server.name}).Counter("heads_late").Inc(1)
	c.server.Log.Info("head not received in time", fields...)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	// The peer may be gone; the connection is closed next.
	_, _ = io.WriteString(c.Conn, lateHeadResponse)
}

// readWaiting reads bytes that have arrived by the deadline of a read which has failed with err.
// It returns err if there are none.
func (c *conn) readWaiting(p []byte, err error) (int, error) {
	if !cwnet.HasUnreadBytes(c.Conn) {
		return 0, err
	}
	// The read does not wait, but needs a deadline that has not passed.
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Second))
	return c.Conn.Read(p)
}

// isExtended reports whether the deadline of a waiting read has become later, because the
// configuration has changed meanwhile.
func (c *conn) isExtended(deadline time.Time) bool {
	current, ok := c.requestDeadline()
	return ok && current.After(deadline) && time.Now().Before(current)
}

// readUnread moves bytes from unread to p and returns their number.
func (c *conn) readUnread(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n
}

// requestDeadline returns the deadline for the rest of a head, or for the first byte of a
// request. It returns false while a request is being served.
func (c *conn) requestDeadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateActive {
		return time.Time{}, false
	}
	header, first, idle := c.server.timeLimits()
	switch {
	case c.requestBytes > 0:
		return c.requestAt.Add(header), true
	case c.isExcess:
		return c.openedAt.Add(excessTimeout), true
	case c.state == http.StateNew:
		return c.openedAt.Add(first), true
	}
	return c.idleSince.Add(idle), true
}

// isDone reports whether the connection is to be closed and has no request, neither in
// progress nor in the socket's buffer.
func (c *conn) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing && c.isUnused()
}

// isKept reports whether the connection had a request before and has none now.
func (c *conn) isKept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateIdle && c.requestBytes == 0 && !c.isClosing
}

// isEvictable reports whether the connection has no request and is not being closed.
func (c *conn) isEvictable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != http.StateActive && c.requestBytes == 0 && !c.isClosing
}

// isUnused reports whether the peer has sent no request since the last response. After a
// request whose end the framer can't find, bytes of the next one may have been read together
// with it, so that requestBytes does not include them. The caller holds mu.
func (c *conn) isUnused() bool {
	return c.state != http.StateActive && c.requestBytes == 0 && len(c.unread) == 0 && cwnet.IsIdleConnUsable(c.Conn)
}

// recordRead counts the bytes that belong to the request in progress or, once that has been
// read to its end, to the next one. It returns how many of the bytes net/http may have now: it
// gets no bytes of the next request together with the end of this one, since it would not be
// known here that a part of the next one has arrived.
func (c *conn) recordRead(p []byte, err error) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, isEnd := c.framer.take(p)
	c.claimHead(p[:n])
	if n < len(p) {
		c.unread = slices.Concat(p[n:], c.unread)
	}
	if n > 0 && c.requestBytes == 0 {
		c.requestAt = time.Now()
	}
	if c.hasEnded {
		c.nextBytes += n
	} else {
		c.requestBytes += n
		c.hasEnded = isEnd
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordPeerGone(err)
	}
	if n > 0 && c.isReadAborted {
		// The bytes arrived before the read was aborted. The rest of the request must not
		// meet the deadline that was set for this read.
		c.isReadAborted = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return n
}

// recordPeerGone records that a read or write failed. The caller holds mu.
func (c *conn) recordPeerGone(err error) {
	if c.isPeerGone || c.isClosed {
		return
	}
	c.isPeerGone, c.peerErr = true, err
}

// beginRequest records that a handler has a request. The identifier may be empty.
func (c *conn) beginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID, c.isInHandler = id, true
}

// endRequest records that the handler has returned or, if a reason is given, that the
// connection will be closed because of it.
func (c *conn) endRequest(reason endReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInHandler, c.endReason = reason != "", reason
}

// setExcess marks a new connection as in excess of the limit, until its first request.
func (c *conn) setExcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isExcess = true
}

// takeExcess reports whether the connection was marked, and removes the mark.
func (c *conn) takeExcess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasExcess := c.isExcess
	c.isExcess = false
	return wasExcess
}

// closeWhenUnused makes net/http close the connection once no request is in progress. A
// waiting read is aborted, unless a request has arrived.
func (c *conn) closeWhenUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if c.isUnused() {
		c.isReadAborted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// continueLine begins the interim response that asks for the body.
var continueLine = []byte("HTTP/1.1 100 ")

// Write writes to the connection and records that a response has begun.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.hasResponded = c.hasResponded || !bytes.HasPrefix(p, continueLine)
	isRefused := c.isRefused
	c.mu.Unlock()
	if isRefused {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.isWriteFailed = true
		c.recordPeerGone(err)
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the writing side of the connection. net/http uses it so that a peer
// that is still sending gets its response instead of a reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *conn) currentState() http.ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// setState records a change of state. The idle state begins after a response.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		// The deadline was that of the head.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateClosed, http.StateHijacked:
		c.releaseHead()
	case http.StateIdle:
		c.releaseHead()
		c.idleSince = time.Now()
		c.responseCount++
		// The time for a head begins with the response's end if the peer sent its first bytes
		// before.
		c.requestBytes, c.requestAt = c.nextBytes, c.idleSince
		c.nextBytes, c.hasEnded, c.hasResponded = 0, false, false
		c.requestID, c.lingers = "", false
	}
}
