package cwserver

import (
	"context"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// HasPeerLeft reports whether the peer had closed the connection before its request was read, as callers do
// that get no answer for long. net/http notices that only while the request is served, and cancels it then.
// ctx is that of the request, whose body has been read. It does not block.
func HasPeerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.hasPeerLeft()
}

// hasPeerLeft reports whether nothing but the close of the connection is left to be read.
func (c *conn) hasPeerLeft() bool {
	c.mu.Lock()
	hasUnread := len(c.unread) > 0
	c.mu.Unlock()
	return !hasUnread && cwnet.HasPeerClosed(c.Conn)
}
