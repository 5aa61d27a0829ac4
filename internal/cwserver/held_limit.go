package cwserver

import (
	"sync"
	"time"
)

// heldLimit is a time limit that becomes shorter only some time after the configuration has
// lowered it. A peer may rely on the longer one until the time that began under it is over.
type heldLimit struct {
	mu      sync.Mutex
	longest time.Duration
	// allowedAt is when the longest limit was last allowed.
	allowedAt time.Time
}

// update records the limit that is allowed now, and returns the one in force.
func (l *heldLimit) update(allowed time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if allowed >= l.longest || now.Sub(l.allowedAt) > l.longest {
		l.longest, l.allowedAt = allowed, now
	}
	return l.longest
}
