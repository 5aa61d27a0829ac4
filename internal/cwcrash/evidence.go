package cwcrash

import (
	"slices"
	"time"
)

const (
	// maxEnds and maxSurvivals bound the events that are kept for one trait. With maxSurvivals that
	// count, no number of kept ends is enough for a block.
	maxEnds      = 16
	maxSurvivals = 8
	// minEnds is the number of ends from which a trait without survivals is blocked: the second
	// may be a coincidence.
	minEnds = 3
	// minFirstPartEnds is the same for the first part of a prompt.
	minFirstPartEnds = 5
	// survivalWeight is the number of further ends that each survival calls for. With 2 a trait is
	// blocked that ends endpoints in most of its runs.
	survivalWeight = 2
	// priorSurvivalPeriod is how long before the latest end a survival counts that was before the
	// first.
	priorSurvivalPeriod = 20 * time.Second
	// survivalSpacing is the time from which another survival replaces an older one.
	survivalSpacing = time.Second
	// coincidencePeriod is the time within which ends count once: the cause of endpoints that
	// end together is not a request at one of them.
	coincidencePeriod = 100 * time.Millisecond
)

// Evidence is what all instances know about a trait under which endpoints ended.
type Evidence struct {
	Suspect
	// Ends are the ends of endpoints under requests with the trait, and Survivals requests with
	// it that did not end their endpoint, both ordered by time.
	Ends, Survivals []Event
	// SeenAt is when a request with the trait was last refused; zero if none was.
	SeenAt time.Time
	// LiftedAt is when an operator lifted the block; zero if none did. Earlier events don't
	// count.
	LiftedAt time.Time
}

// merge adds what another instance knows, and reports whether an end, a survival or the time
// of the lift is new.
func (e *Evidence) merge(other *Evidence) bool {
	changed := false
	if e.Name == "" {
		e.Name = other.Name
	}
	if other.LiftedAt.After(e.LiftedAt) {
		// The time is derived from an age, and gets a little later with each transfer.
		changed = other.LiftedAt.Sub(e.LiftedAt) > maxTransferTime
		e.lift(other.LiftedAt)
	}
	for _, end := range other.Ends {
		changed = e.addEnd(end) || changed
	}
	for _, s := range other.Survivals {
		changed = e.addSurvival(s) || changed
	}
	if other.SeenAt.After(e.SeenAt) {
		e.SeenAt = other.SeenAt
	}
	return changed
}

// maxTransferTime is the largest difference between two times of the same event.
const maxTransferTime = 3 * time.Second

func (e *Evidence) addEnd(end Event) bool {
	if !end.At.After(e.LiftedAt) {
		return false
	}
	var changed bool
	e.Ends, changed = addEvent(e.Ends, end, maxEnds)
	return changed
}

// addSurvival adds a survival if it makes a difference.
func (e *Evidence) addSurvival(s Event) bool {
	n := len(e.Survivals)
	if n == maxSurvivals && s.At.Sub(e.Survivals[n-1].At) < survivalSpacing || !s.At.After(e.LiftedAt) {
		return false
	}
	var changed bool
	e.Survivals, changed = addEvent(e.Survivals, s, maxSurvivals)
	return changed
}

func (e *Evidence) lift(at time.Time) {
	e.LiftedAt = at
	e.Ends, e.Survivals = dropUntil(e.Ends, at), dropUntil(e.Survivals, at)
}

// requiredEnds returns the number of ends from which the trait is blocked.
func (e *Evidence) requiredEnds() int {
	if e.IsFirstPart {
		if len(e.Survivals) > 0 {
			return maxEnds + 1
		}
		return minFirstPartEnds
	}
	required := minEnds
	first, latest := e.Ends[0].At, e.Ends[len(e.Ends)-1].At
	for _, s := range e.Survivals {
		if s.At.After(first) || latest.Sub(s.At) < priorSurvivalPeriod {
			required += survivalWeight
		}
	}
	return required
}

// countEnds returns the number of ends in the set, and counts those within coincidencePeriod
// of each other once.
func (e *Evidence) countEnds(set map[uint32]time.Time) int {
	count := 0
	var counted time.Time
	for _, end := range e.Ends {
		if _, ok := set[end.ID]; !ok || count > 0 && end.At.Sub(counted) < coincidencePeriod {
			continue
		}
		count++
		counted = end.At
	}
	return count
}

// countOtherEnds returns the number of ends in the set that occurred without the trait, from its
// first end to its last, up to a limit. Those within coincidencePeriod of each other count once.
// The timeline has all ends of the set, ordered by time.
func (e *Evidence) countOtherEnds(timeline []Event, set map[uint32]time.Time, limit int) int {
	first, last := e.Ends[0].At.Add(-coincidencePeriod), e.Ends[len(e.Ends)-1].At.Add(coincidencePeriod)
	begin, _ := slices.BinarySearchFunc(timeline, first, func(end Event, t time.Time) int { return end.At.Compare(t) })
	count := 0
	var counted time.Time
	for _, end := range timeline[begin:] {
		if count == limit || end.At.After(last) {
			break
		}
		if count > 0 && end.At.Sub(counted) < coincidencePeriod {
			continue
		}
		if _, ok := set[end.ID]; !ok || slices.ContainsFunc(e.Ends, func(own Event) bool { return own.ID == end.ID }) {
			continue
		}
		count++
		counted = end.At
	}
	return count
}

// lastActivity returns when the evidence was last confirmed.
func (e *Evidence) lastActivity() time.Time {
	latest := e.SeenAt
	if e.LiftedAt.After(latest) {
		latest = e.LiftedAt
	}
	if n := len(e.Ends); n > 0 && e.Ends[n-1].At.After(latest) {
		latest = e.Ends[n-1].At
	}
	return latest
}

// clone returns a copy that shares no memory with e.
func (e *Evidence) clone() *Evidence {
	c := *e
	c.Ends, c.Survivals = append([]Event(nil), e.Ends...), append([]Event(nil), e.Survivals...)
	return &c
}
