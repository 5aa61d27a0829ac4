package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
)

const (
	// maxContactGap is the longest time without contact to any other instance that is normal: each
	// is contacted at least once a second.
	maxContactGap = 1500 * time.Millisecond
	// catchUpPeriod is the time after such a gap within which changes of the published state that
	// others made meanwhile may still be missing.
	catchUpPeriod = 2 * time.Second
	// revisionWait is how long a stream that is taken up waits for these changes. Its caller comes
	// back after the same time.
	revisionWait = 500 * time.Millisecond
)

// contactGap detects that this instance was cut off from all others, or stood still.
type contactGap struct {
	// contactAt is the latest contact to any other instance, and endedAt when contact came back after
	// the latest gap.
	contactAt, endedAt time.Time
}

// observe updates the gap from a snapshot.
func (g *contactGap) observe(s *cwcontrol.Snapshot) {
	latest := g.contactAt
	for i := range s.Members {
		if at := s.Members[i].LastContactAt; at.After(latest) {
			latest = at
		}
	}
	if !g.contactAt.IsZero() && latest.Sub(g.contactAt) > maxContactGap {
		g.endedAt = latest
	}
	g.contactAt = latest
}

// isOutOfStep reports whether this instance may lack changes of the published state that other
// instances have.
func (g *contactGap) isOutOfStep(now time.Time) bool {
	if g.contactAt.IsZero() {
		return false
	}
	return now.Sub(g.contactAt) > maxContactGap || !g.endedAt.IsZero() && now.Sub(g.endedAt) < catchUpPeriod
}

func (g *Gate) updateContactGap(c change) {
	if c.isSnapshotNew {
		g.contactGap.observe(g.snapshot)
	}
}

// isOutOfStep reports whether an endpoint may serve another version here than its entry names,
// because this instance has just been without contact to the others.
func (g *Gate) isOutOfStep() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sync(now)
	return g.contactGap.isOutOfStep(now)
}
