package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// statementRetention is how long the statements of an endpoint are kept after its entry has lapsed.
const statementRetention = 10 * time.Minute

// statements is what an endpoint has stated about itself in its responses during one life: its
// rate limit, that it is leaving, a pause.
type statements struct {
	rateLimiter
	announcement
	// isListed is set while the endpoint has an entry, and unlistedAt is when it was found to have
	// none.
	isListed   bool
	unlistedAt time.Time
}

// life identifies one run of an endpoint's process.
type life struct {
	id              string
	startedAtMillis int64
}

// statementStore holds the statements of endpoints by life. They belong to the life and not to the
// entry, which may lapse, return or move while a response is on its way.
type statementStore map[life]*statements

// of returns the statements of a life, which are empty if it has made none.
func (s statementStore) of(l life) *statements {
	found := s[l]
	if found == nil {
		found = &statements{}
		s[l] = found
	}
	return found
}

// list returns the statements of the endpoint of an entry that was read at a time. It removes those of
// endpoints without an entry that are too old.
func (s statementStore) list(entry *cwroute.Endpoint, readAt time.Time) *statements {
	found := s.of(lifeOf(entry))
	found.isListed, found.unlistedAt = true, time.Time{}
	for l, other := range s {
		switch {
		case other.isListed:
		case other.unlistedAt.IsZero():
			other.unlistedAt = readAt
		case readAt.Sub(other.unlistedAt) > statementRetention:
			delete(s, l)
		}
	}
	return found
}

// unlist records that the endpoint has no entry any more.
func (s statementStore) unlist(entry *cwroute.Endpoint) {
	if found := s[lifeOf(entry)]; found != nil {
		found.isListed = false
	}
}

func lifeOf(entry *cwroute.Endpoint) life {
	return life{entry.ID, entry.StartedAtMillis}
}
