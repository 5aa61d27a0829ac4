package cwplacement

import "time"

const (
	// recentPartTTL is how long a part that was sent to an endpoint is reported to the
	// other instances. It covers several exchanges, since one may fail.
	recentPartTTL = 1200 * time.Millisecond
	// maxRecentParts bounds the recent parts of one endpoint, which one message contains.
	maxRecentParts = 128
)

// recentParts are the shared parts that this instance recently sent to an endpoint.
type recentParts struct {
	// entries are ordered by the time of sending.
	entries []recentPart
}

type recentPart struct {
	part   PromptPart
	sentAt time.Time
}

// add adds the parts of a prompt that other requests may share: all but the last one.
func (r *recentParts) add(parts []PromptPart, now time.Time) {
	r.dropExpired(now)
	for i := range max(len(parts)-1, 0) {
		r.entries = append(r.entries, recentPart{part: parts[i], sentAt: now})
	}
	if excess := len(r.entries) - maxRecentParts; excess > 0 {
		r.entries = r.entries[excess:]
	}
}

func (r *recentParts) dropExpired(now time.Time) {
	expired := 0
	for expired < len(r.entries) && now.Sub(r.entries[expired].sentAt) > recentPartTTL {
		expired++
	}
	r.entries = r.entries[expired:]
}

// list returns the distinct parts that have not expired.
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
