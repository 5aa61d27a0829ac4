package cwquota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// AccountID returns the number that identifies an account in statements.
func AccountID(name string) uint64 {
	return xxhash.Sum64String(name)
}

// account is what is known of the spending on an account.
type account struct {
	own timeline
	// limit is the quota of the latest attempt to spend.
	limit Limit
	// others is the spending of all sources in contact.
	others timeline
	// instances and domains are the rates of the sources in contact: of instances of the own
	// domain, and of other domains.
	instances, domains rates
	// spendings is the number of requests that this instance has allowed.
	spendings int
	// asked is the number of requests at this instance, and demand what they ask for, by size.
	asked  uint64
	demand sizes
	// meanAsked is the mean size of the requests that came to this instance lately, and refusedAt
	// when it refused one last.
	meanAsked float64
	refusedAt time.Time
	// returnAt is when the last refused caller was told to return.
	returnAt time.Time
}

// addAsked counts an attempt to spend the amount.
func (a *account) addAsked(amount float64) {
	if a.meanAsked == 0 {
		a.meanAsked = amount
	}
	a.meanAsked += (amount - a.meanAsked) / meanCount
	a.asked++
	a.demand.add(amount)
}

// extrapolated returns the spending of the others that is not stated yet. It goes on at their
// last rates. If spending has jumped in the own domain, which is known sooner, it is taken to
// have jumped in the others too.
func (a *account) extrapolated(scale, sinceEpoch float64, now time.Time) float64 {
	last := slotOf(now)
	ownRate := a.own.sum(last, 2) / (slotDuration + slotPassed(now)).Seconds()
	ownOlder := a.own.sum(last-recentSlots, olderSlots) / (olderSlots * slotDuration).Seconds()
	jump := (ownRate + a.instances.rate + scale) / (ownOlder + a.instances.older + scale)
	return a.instances.spent(sinceEpoch) + max(a.domains.spent(sinceEpoch), min(jump, maxJump)*a.domains.olderSpent(sinceEpoch))
}

const (
	// meanCount is the number of requests over which the mean size is taken.
	meanCount = 16
	// olderSlots is the number of slots before the recent ones from which the usual rate is taken.
	olderSlots = 8
	// maxJump bounds the factor by which spending is taken to have jumped elsewhere.
	maxJump = 10
)

// add adds or, with a factor of -1, removes what a source in contact stated.
func (a *account) add(s *source, e *entry, at, factor float64) {
	a.others.addAll(&e.spent, factor)
	r := &a.instances
	if s.isDomain() {
		r = &a.domains
	}
	r.add(e, at, factor)
}
