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
	// maxBusy is the fraction of what is tolerated from which on an account is busy in any case: with
	// a small rate the slack is most of that.
	maxBusy = 0.65
	// heldWindows is the number of windows after a refusal for which an instance keeps to its part.
	// In an overload of which an instance sees little, it has had another caller by then.
	heldWindows = 2
	// evenRequests is the number of requests in a window that an instance is taken to have on top
	// of those that it allowed. With few requests known, parts are nearly even: the next caller
	// may come to any instance.
	evenRequests = 2
)

// isWithinPart reports whether this instance may spend the amount while little is left of the
// quota. Then each instance has a part of the rate and of what is left of the burst, so that they
// don't all spend the same room before they have told each other. An instance that has refused a
// request lately keeps to its part also while the account isn't busy: after a debt the level rises
// at all instances at once. A part may be less than one request. Therefore the amount counts by a
// random fraction, which on average makes the sum of all instances that of their parts.
func (l *Ledger) isWithinPart(id uint64, a *account, b *bucket, amount float64, now time.Time) bool {
	last, slots := slotOf(now), l.windowSlots()
	own, others := a.own.sum(last, slots), max(a.others.sum(last, slots), 0)
	others += a.extrapolated(l.bounds.scale(), l.sinceEpoch(now), now)
	if !l.isBusy(own+others, b) && now.Sub(a.refusedAt) > heldWindows*l.bounds.Window {
		return true
	}
	even := evenRequests * a.meanAsked
	part := (own + even) / (own + others + even*l.inContact())
	budget := part * (b.rate*((partSlots-1)*slotDuration+slotPassed(now)).Seconds() + b.burst/2)
	return a.own.sum(last, partSlots)+l.fraction(id, a, now)*amount <= budget
}

// isBusy reports whether an account that has used the amount in the window is close to its quota.
func (l *Ledger) isBusy(used float64, b *bucket) bool {
	return used >= min(busyFraction*b.rate*l.bounds.Window.Seconds()+busySlack*l.bounds.Slack, maxBusy*b.tolerated)
}

// fraction returns a number in [0, 1) that differs between instances and accounts, and changes with
// each request that is allowed and with each time for which a part holds. Between these it stays
// the same, also for requests that come again.
func (l *Ledger) fraction(id uint64, a *account, now time.Time) float64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], id)
	binary.LittleEndian.PutUint64(b[8:], uint64(a.spendings))
	binary.LittleEndian.PutUint64(b[16:], uint64(slotOf(now)/partSlots))
	h := xxhash.New()
	_, _ = h.WriteString(l.self.Address)
	_, _ = h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}
