package cwplacement

import "time"

const (
	// recentFor is how long a part that was sent to an endpoint is told to the other
	// instances. It covers several exchanges, since one may fail.
	recentFor = 1200 * time.Millisecond
	// maxRecent bounds the parts in one message.
	maxRecent = 128
)

// recentParts are the shared parts that this instance sent to an endpoint lately.
type recentParts struct {
	entries []recentPart
}

type recentPart struct {
	part Part
	at   time.Time
}

// add notes the parts that other requests may share.
func (r *recentParts) add(parts []Part, now time.Time) {
	r.drop(now)
	for i := range max(len(parts)-1, 0) {
		r.entries = append(r.entries, recentPart{part: parts[i], at: now})
	}
	if over := len(r.entries) - maxRecent; over > 0 {
		r.entries = r.entries[over:]
	}
}

func (r *recentParts) drop(now time.Time) {
	old := 0
	for old < len(r.entries) && now.Sub(r.entries[old].at) > recentFor {
		old++
	}
	r.entries = r.entries[old:]
}

// list returns the parts that are still recent, each once.
func (r *recentParts) list(now time.Time) []Part {
	r.drop(now)
	var parts []Part
	seen := make(map[uint64]bool, len(r.entries))
	for _, e := range r.entries {
		if !seen[e.part.ID] {
			seen[e.part.ID] = true
			parts = append(parts, e.part)
		}
	}
	return parts
}
