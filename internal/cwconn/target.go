package cwconn

import (
	"sync"
	"time"
)

// target holds the connections to one address.
type target struct {
	mu   sync.Mutex
	idle []*conn
	open int
	// usedAt is when a connection was last taken.
	usedAt time.Time
}

// take returns an idle connection, the one used last first: what lies idle longest
// is most likely to be closed by the peer.
func (t *target) take(now time.Time) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usedAt = now
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if c.reusable(now) {
			return c
		}
		_ = c.Conn.Close()
		t.open--
	}
	return nil
}

// reserve counts a connection that is about to be opened.
func (t *target) reserve(most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if most > 0 && t.open >= most {
		return false
	}
	t.open++
	return true
}

func (t *target) put(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// drop counts a closed connection.
func (t *target) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

// closeIdle closes what lies idle too long, or all if the time is zero.
func (t *target) closeIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[:0]
	for _, c := range t.idle {
		if !now.IsZero() && now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
		t.open--
	}
	clear(t.idle[len(kept):])
	t.idle = kept
}

func (t *target) empty(before time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0 && t.usedAt.Before(before)
}
