package cwcrash

import "time"

const (
	// recentSlots is the number of traits whose survivals are remembered: a direct-mapped table
	// of 24 bytes each.
	recentSlots = 4096
	// maxRecentCount is the largest number of survivals that is counted.
	maxRecentCount = 4
)

// recentSurvivals remembers which traits requests had lately that did not end their endpoint,
// before any endpoint ended under them.
type recentSurvivals struct {
	// startedAt is when the table was made. Times are kept as the time since then.
	startedAt time.Time
	slots     [recentSlots]recentSurvival
}

type recentSurvival struct {
	trait Trait
	// at is the time of the latest one since the start of the table.
	at    time.Duration
	count uint32
}

func (r *recentSurvivals) add(t Trait, now time.Time) {
	s := &r.slots[uint64(t)%recentSlots]
	if s.trait != t {
		*s = recentSurvival{trait: t}
	}
	s.at, s.count = now.Sub(r.startedAt), min(s.count+1, maxRecentCount)
}

// appendTo adds the remembered survivals of the trait to its evidence. Salt distinguishes
// those of different instances. It reports whether there were any.
func (r *recentSurvivals) appendTo(e *Evidence, salt uint64) bool {
	s := &r.slots[uint64(e.Trait)%recentSlots]
	if s.trait != e.Trait {
		return false
	}
	changed := false
	for n := range s.count {
		id := uint32(mix(salt + uint64(e.Trait) + uint64(n)))
		changed = e.addSurvival(Event{ID: id, At: r.startedAt.Add(s.at)}) || changed
	}
	return changed
}
