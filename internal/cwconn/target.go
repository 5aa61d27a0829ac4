package cwconn

import (
	"sync"
	"time"
)

// addressPool holds the connections to one address.
type addressPool struct {
	mu        sync.Mutex
	idle      []*conn
	openConns int
	// lastTakenAt is when a connection was last taken.
	lastTakenAt time.Time
}

// takeIdle returns an idle connection, the one used last first: what lies idle longest
// is most likely to be closed by the peer.
func (t *addressPool) takeIdle(now time.Time) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastTakenAt = now
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if c.isReusable(now) {
			return c
		}
		_ = c.Conn.Close()
		t.openConns--
	}
	return nil
}

// reserveConn counts a connection that is about to be opened.
func (t *addressPool) reserveConn(most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if most > 0 && t.openConns >= most {
		return false
	}
	t.openConns++
	return true
}

func (t *addressPool) putIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// releaseConn counts a closed connection.
func (t *addressPool) releaseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns--
}

// closeIdle closes what lies idle too long, or all if the time is zero.
func (t *addressPool) closeIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[:0]
	for _, c := range t.idle {
		if !now.IsZero() && now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
		t.openConns--
	}
	clear(t.idle[len(kept):])
	t.idle = kept
}

func (t *addressPool) isUnusedSince(before time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openConns == 0 && t.lastTakenAt.Before(before)
}
