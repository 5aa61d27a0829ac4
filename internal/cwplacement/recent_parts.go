package cwplacement

import "time"

const (
	// recentPartTTL is how long a part that was sent to an endpoint is told to the other
	// instances. It covers several exchanges, since one may fail.
	recentPartTTL = 1200 * time.Millisecond
	// maxRecentParts bounds the parts in one message.
	maxRecentParts = 128
)

// recentParts are the shared parts that this instance sent to an endpoint lately.
type recentParts struct {
	entries []recentPart
}

type recentPart struct {
	part PromptPart
	at   time.Time
}

// add notes the parts that other requests may share.
func (r *recentParts) add(parts []PromptPart, now time.Time) {
	r.dropExpired(now)
	for i := range max(len(parts)-1, 0) {
		r.entries = append(r.entries, recentPart{part: parts[i], at: now})
	}
	if over := len(r.entries) - maxRecentParts; over > 0 {
		r.entries = r.entries[over:]
	}
}

func (r *recentParts) dropExpired(now time.Time) {
	old := 0
	for old < len(r.entries) && now.Sub(r.entries[old].at) > recentPartTTL {
		old++
	}
	r.entries = r.entries[old:]
}

// list returns the parts that are still recent, each once.
func (r *recentParts) list(now time.Time) []PromptPart {
	r.dropExpired(now)
	var parts []PromptPart
	seen := make(map[uint64]bool, len(r.entries))
	for _, e := range r.entries {
		if !seen[e.part.ID] {
			seen[e.part.ID] = true
			parts = append(parts, e.part)
		}
	}
	return parts
}
