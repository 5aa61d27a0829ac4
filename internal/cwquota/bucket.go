package cwquota

import "time"

// bucket is the part of a quota that belongs to the instances in contact.
type bucket struct {
	// share is that part, from 0 to 1, and rate and burst are its amounts.
	share, rate, burst float64
	// atStart is the highest level that the bucket may have had when this instance started, and
	// full the highest that it may have now.
	atStart, full float64
	// tolerated is what may be spent in a window.
	tolerated float64
}

// startFraction is the fraction of its part of the burst that an instance has when it starts. What
// it spent in a former life is known to nobody if it is alone, and lives may be short.
const startFraction = 0.5

func (l *Ledger) bucket(limit Limit, share float64, now time.Time) bucket {
	b := bucket{share: share, rate: limit.PerSecond * share}
	b.burst = (limit.Burst + l.bounds.burstSlack(limit.PerSecond)) * share
	b.atStart = b.burst - (b.burst-startFraction*limit.Burst*share)/l.inContact()
	b.full = min(b.atStart+b.rate*l.sinceEpoch(now), b.burst)
	b.tolerated = l.bounds.tolerated(limit) * share
	return b
}

// level returns what is left of the quota: the lowest level of a bucket that was full at the
// beginning of the window and from which all known spending was taken. So within a window no
// more than the burst and the rate is spent, as far as the spending is known.
func (l *Ledger) level(a *account, b *bucket, now time.Time) float64 {
	first, last := slotOf(l.epoch), slotOf(now)
	level := b.burst
	perSlot := b.rate * slotDuration.Seconds()
	passed := float64(slotPassed(now)) / float64(slotDuration)
	count := int64(l.windowSlots())
	for slot := last - count + 1; slot <= last; slot++ {
		if slot == first {
			level = min(level, b.atStart)
		}
		refill := perSlot
		if slot == last {
			refill *= passed
			level -= a.extrapolated(l.bounds.scale(), l.sinceEpoch(now), now)
		}
		level = min(level+refill-a.own.at(slot)-a.others.at(slot), b.burst)
	}
	return level
}
