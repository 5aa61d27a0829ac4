package cwquota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// heavyShare is the part of the heavy requests that are treated as light ones, so that no size
// starves while light ones use up the quota.
const heavyShare = 1.0 / 16

// lightReserve is the fraction of the burst that heavy requests leave to light ones while an account
// uses most of its quota.
const lightReserve = 0.5

// keptForLight returns what a request leaves to light ones.
func (l *Ledger) keptForLight(a *account, b *bucket, amount float64, now time.Time) float64 {
	if !a.demand.hasLight() || a.demand.isLight(amount) || !l.isBusy(l.used(a, now), b) {
		return 0
	}
	return lightReserve * b.burst
}

// used returns what is known to be spent in the window.
func (l *Ledger) used(a *account, now time.Time) float64 {
	last, slots := slotOf(now), l.windowSlots()
	return a.own.sum(last, slots) + a.others.sum(last, slots) + a.extrapolated(l.bounds.scale(), l.sinceEpoch(now), now)
}

// mayUseWindow reports whether a request that exceeds the bucket may use what is left of the rate in
// the window. Light requests may: refusing a heavy one leaves room for many of them, and as a small
// part of the demand they can't use up the window at once.
func (l *Ledger) mayUseWindow(id uint64, a *account, b *bucket, amount float64, now time.Time) bool {
	if !a.demand.hasLight() || !a.demand.isLight(amount) && l.draw(id, a) >= heavyShare {
		return false
	}
	// What this instance spent in a former life, or will have spent if it starts again, is known to
	// nobody if it is alone.
	limit := min(b.rate*l.bounds.Window.Seconds()-b.burst/l.inContact(), b.atStart+b.rate*l.sinceEpoch(now))
	return l.used(a, now)+amount <= limit
}

// draw returns a number in [0, 1) that differs between instances, accounts and requests.
func (l *Ledger) draw(id uint64, a *account) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], id)
	binary.LittleEndian.PutUint64(b[8:], a.asked)
	h := xxhash.New()
	_, _ = h.WriteString(l.self.Address)
	_, _ = h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}
