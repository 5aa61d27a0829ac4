package cwquota

import "time"

// Source is who makes statements: an instance of the own failure domain, or another domain.
type Source struct {
	// Address is the peer address of an instance, and Life its incarnation. Both are empty for
	// a domain.
	Address string
	Life    uint64
	// Domain is the failure domain.
	Domain string
}

// isDomain reports whether the source is a whole domain.
func (s Source) isDomain() bool {
	return s.Address == ""
}

// source is what a source stated last.
type source struct {
	Source
	// at is when the latest statements were made.
	at time.Time
	// slotPassed is the part of the source's slot in progress that had passed then.
	slotPassed time.Duration
	// isLost is set once the source is out of contact: its spending is no longer extrapolated,
	// and a share of each rate is reserved for it.
	isLost bool
	// instances is the number of instances that the source stands for.
	instances int
	entries   map[uint64]*entry
	// relayAt is when the latest statements were made that this instance relays: those that come
	// from the source itself and are newer than others know.
	relayAt time.Time
}

// entry is what a source stated last about an account.
type entry struct {
	Statement
	// at is when it was stated.
	at    time.Time
	spent timeline
	// perSecond is the rate at which the spending is extrapolated, and olderPerSecond that before
	// the recent slots.
	perSecond, olderPerSecond float64
	// lostShare is the share of the rate, from 0 to 1, that is reserved for a lost source.
	lostShare float64
}

// contactTimeout is the age of the latest statements at which the source is out of contact.
func (s *source) contactTimeout() time.Duration {
	if s.isDomain() {
		return domainContactTimeout
	}
	return instanceContactTimeout
}
