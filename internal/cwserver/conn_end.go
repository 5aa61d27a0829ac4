package cwserver

import (
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// lingerOnClose makes Close read what the peer is still sending. Closing a connection with
// unread bytes resets it, and the peer may lose the response.
func (c *conn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// Close closes the connection. It counts and logs the connection if the peer is owed a
// response, or the rest of one.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := c.lingers && !c.isClosed && !c.isPeerGone && !c.server.isClosed.Load()
	if !c.isClosed {
		c.recordEnd()
	}
	c.isClosed = true
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	return c.Conn.Close()
}

// recordEnd counts and logs the end of the connection if a response is missing or incomplete.
// The caller holds mu.
func (c *conn) recordEnd() {
	reason := c.reasonOfEnd()
	hasUnread := c.state != http.StateActive && c.requestBytes == 0 && (len(c.unread) > 0 || cwnet.HasUnreadBytes(c.Conn))
	fields := []zap.Field{
		zap.String("server", c.server.name), zap.String("reason", string(reason)), zap.String("request", c.requestID),
		zap.Stringer("remote", c.RemoteAddr()), zap.Stringer("state", c.state), zap.Duration("open", time.Since(c.openedAt)),
		zap.Int("responses", c.responseCount), zap.Int("bytes", c.requestBytes),
		zap.Bool("listening", c.server.isListening.Load()), zap.NamedError("error", c.peerErr),
	}
	if c.requestBytes > 0 {
		fields = append(fields, zap.Duration("firstByteAge", time.Since(c.requestAt)))
	}
	isOwed := c.requestBytes > 0 && !c.hasResponded
	isBrokenOff := c.isInHandler && c.hasResponded
	switch {
	case reason == endConnLimit:
		// There may be very many of these lines, so they must not displace warnings.
		c.server.countEnd("connections_unanswered", reason)
		c.server.Log.Info("connection closed at the connection limit", fields...)
	case isOwed && reason == endCallerLeft:
		c.server.countEnd("connections_unanswered", reason)
		c.server.Log.Info("caller left without a response", fields...)
	case isOwed:
		c.server.countEnd("connections_unanswered", reason)
		c.server.Log.Warn("connection closed without a response", fields...)
	case hasUnread:
		c.server.countEnd("connections_unanswered", reason)
		c.server.Log.Warn("connection closed with an unread request", fields...)
	case c.isWriteFailed && !c.isInHandler:
		// The handler has returned and could not see that its response was not sent.
		c.server.countEnd("responses_broken_off", reason)
		c.server.Log.Info("response not sent", fields...)
	case isBrokenOff && reason == endCallerLeft:
		c.server.countEnd("responses_broken_off", reason)
	case isBrokenOff:
		c.server.countEnd("responses_broken_off", reason)
		c.server.Log.Warn("response broken off", fields...)
	}
}

// reasonOfEnd returns why the connection ends now. The caller holds mu.
func (c *conn) reasonOfEnd() endReason {
	switch {
	case c.isPeerGone:
		return endCallerLeft
	case c.endReason != "":
		return c.endReason
	case c.server.isGraceOver.Load():
		return endGraceOver
	case c.server.isClosed.Load():
		return endServerClosed
	case c.state != http.StateActive && c.requestBytes == 0:
		return endUnread
	}
	return endUnknown
}

// linger reads and discards until the peer closes the connection, for lingerTimeout at most.
func (c *conn) linger() {
	// Without a half-close, as on an in-memory network, the peer sees the end later.
	_ = c.CloseWrite()
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	// Whatever the error, the connection is closed next.
	_, _ = io.Copy(io.Discard, c.Conn)
}
