package cwquota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partSlots is the time in slots for which an instance's part holds: 2 s, more than the age
	// of what instances state about each other.
	partSlots = 4
	// lowLevel is the fraction of the burst below which little is left of a quota, and busyFraction
	// the fraction of the rate, over a window, from which instances are then held to their parts.
	// Below it the level is low for a moment only. busySlack is the fraction of the slack that is
	// added to that: a few large requests make no account busy.
	lowLevel     = 0.8
	busyFraction = 0.75
	busySlack    = 1
)

// isWithinPart reports whether this instance may spend the amount while little is left of the
// quota. Then each instance has a part of the rate and of what is left of the burst, so that they
// don't all spend the same room before they have told each other. A part may be less than one
// request. Therefore the amount counts by a random fraction, which on average makes the sum of all
// instances that of their parts.
func (l *Ledger) isWithinPart(id uint64, a *account, rate, burst, amount float64, now time.Time) bool {
	last, slots := slotOf(now), l.windowSlots()
	own, others := a.own.sum(last, slots), max(a.others.sum(last, slots), 0)
	others += a.extrapolated(l.bounds.scale(), l.sinceEpoch(now), now)
	if !l.isBusy(own+others, rate) {
		return true
	}
	part := evenShareFraction / max(float64(l.instances)*l.shareInContactByCount(), 1)
	part += (1 - evenShareFraction) * own / (own + others)
	budget := part * (rate*((partSlots-1)*slotDuration+slotPassed(now)).Seconds() + burst/2)
	return a.own.sum(last, partSlots)+l.fraction(id, a, now)*amount <= budget
}

// isBusy reports whether an account that has used the amount in the window is close to its rate.
func (l *Ledger) isBusy(used, rate float64) bool {
	return used >= busyFraction*rate*l.bounds.Window.Seconds()+busySlack*l.bounds.Slack
}

// fraction returns a number in [0, 1) that differs between instances, accounts and windows, and
// changes with each request that is allowed. It stays the same for requests that come again.
func (l *Ledger) fraction(id uint64, a *account, now time.Time) float64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], id)
	binary.LittleEndian.PutUint64(b[8:], uint64(a.spendings))
	binary.LittleEndian.PutUint64(b[16:], uint64(now.UnixNano()/int64(l.bounds.Window)))
	h := xxhash.New()
	_, _ = h.WriteString(l.self.Address)
	_, _ = h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}
