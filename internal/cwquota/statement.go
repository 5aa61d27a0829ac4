package cwquota

import "time"

// recentSlots is the number of slots that a statement contains singly: 2 s, which covers the
// time between two statements, so that jumps are placed where they were.
const recentSlots = 4

// Statement is what an instance, or all instances of a failure domain together, spent on an
// account within the window before a time. It replaces earlier statements of the same source,
// so that lost and repeated ones do no harm.
type Statement struct {
	// Account identifies the account, see AccountID.
	Account uint64
	// Recent is the spending in the newest slots, the newest one first, and Older that in the
	// rest of the window.
	Recent [recentSlots]float64
	Older  float64
}

// statementOf returns the statement about a timeline.
func statementOf(account uint64, t *timeline, windowSlots int, now time.Time) Statement {
	s := Statement{Account: account}
	last := slotOf(now)
	for i := range s.Recent {
		s.Recent[i] = t.at(last - int64(i))
	}
	s.Older = t.sum(last-recentSlots, windowSlots-recentSlots)
	return s
}

// timeline returns the spending of the statement, which was made at the time. before is what the
// source stated before: it tells when the older spending was. What it lacks is spread evenly. It
// is little, as statements come more often than recentSlots pass.
func (s *Statement) timeline(before *timeline, at time.Time, windowSlots int) timeline {
	last := slotOf(at)
	older := windowSlots - recentSlots
	t := timeline{newest: last}
	known := before.sum(last-recentSlots, older)
	factor, even := min(s.Older/max(known, 1), 1), max(s.Older-known, 0)/float64(older)
	for slot := last - int64(windowSlots) + 1; slot <= last-recentSlots; slot++ {
		t.add(slot, factor*before.at(slot)+even)
	}
	for i, amount := range s.Recent {
		t.add(last-int64(i), amount)
	}
	return t
}

// keepOlder raises the older spending to what is known of it already.
func (s *Statement) keepOlder(before *timeline, at time.Time, windowSlots int) {
	s.Older = max(s.Older, before.sum(slotOf(at)-recentSlots, windowSlots-recentSlots))
}

// total returns the spending in the statement.
func (s *Statement) total() float64 {
	total := s.Older
	for _, amount := range s.Recent {
		total += amount
	}
	return total
}

// slotPassed returns the time since the beginning of the slot in progress.
func slotPassed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() % int64(slotDuration))
}

// perSecond returns the rate at which the spending goes on. passed is the part of the newest slot
// that had passed when the statement was made. Few requests say little about a rate, so that the
// recent spending counts by its size against the scale, and otherwise that of the whole window.
func (s *Statement) perSecond(passed time.Duration, windowSlots int, scale float64) float64 {
	recent := s.Recent[0] + s.Recent[1]
	if recent <= 0 {
		return 0
	}
	weight := recent / (recent + scale)
	mean := s.total() / (time.Duration(windowSlots-1)*slotDuration + passed).Seconds()
	return weight*recent/(slotDuration+passed).Seconds() + (1-weight)*mean
}

// olderPerSecond returns the rate of the spending before the recent slots.
func (s *Statement) olderPerSecond(windowSlots int) float64 {
	return s.Older / (time.Duration(windowSlots-recentSlots) * slotDuration).Seconds()
}
