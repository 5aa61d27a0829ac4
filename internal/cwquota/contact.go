package cwquota

import "time"

const (
	// silenceLimit is the time out of contact after which what is reserved for a source may be
	// released: it has ended, or is partitioned and still spends its share.
	silenceLimit = 30 * time.Second
	// maxReleasedShare is the largest part of the instances, all beyond silenceLimit together,
	// whose shares are released.
	maxReleasedShare = 0.25
	// evenShareFraction is the least part of a reserved share that does not depend on recent spending.
	evenShareFraction = 0.25
	// settledSlots is the age in slots from which on spending is known to all in contact.
	settledSlots = 2
	// negligible is the spending below which differences of sums are rounding errors.
	negligible = 1e-3
)

// Sharer is another instance that may spend quotas.
type Sharer struct {
	Source
	// SilentSince is when it was last heard by any instance.
	SilentSince time.Time
}

// Update brings the ledger up to date with the other instances and the time. It is called several
// times a second.
func (l *Ledger) Update(others []Sharer, now time.Time) {
	l.instances = len(others) + 1
	counts := make(map[Source]int)
	for _, o := range others {
		from := l.sourceOf(o)
		counts[from]++
		if l.sources[from] == nil {
			l.sources[from] = &source{Source: from, at: o.SilentSince, isLost: true, entries: make(map[uint64]*entry)}
		}
	}
	mates := 0
	for from, s := range l.sources {
		s.instances = counts[from]
		if !s.isDomain() {
			mates += s.instances
		}
		switch {
		case s.instances == 0:
			l.stop(s)
		case !s.isLost && now.Sub(s.at) > s.contactTimeout():
			l.lose(s)
		}
	}
	l.fullInterval = max(minFullInterval, time.Duration(mates)*time.Second/fullPerSecond)
	l.forget(now)
}

// sourceOf returns who states the spending of another instance.
func (l *Ledger) sourceOf(o Sharer) Source {
	if o.Domain == l.self.Domain {
		return o.Source
	}
	return Source{Domain: o.Domain}
}

// lose reserves shares for a source that is out of contact, by its part of the spending known at
// the last contact. The other side of a partition reserves the rest, so that both add up.
func (l *Ledger) lose(s *source) {
	// What both sides of a partition knew at the last contact. Each knows its own latest spending
	// better than that of the other.
	last, slots := slotOf(s.at)-settledSlots, l.windowSlots()-settledSlots
	even := float64(s.instances) / l.inContact()
	shares := make(map[uint64]float64, len(l.accounts))
	for id, a := range l.accounts {
		part, spent := even, 0.0
		if e := s.entries[id]; e != nil {
			spent = e.spent.sum(last, slots)
		}
		if total := a.own.sum(last, slots) + a.others.sum(last, slots); total > 0 {
			// Of few requests the sides of a partition may have seen different ones.
			weight := max(evenShareFraction, l.bounds.Slack/(l.bounds.Slack+total))
			part = weight*even + (1-weight)*min(spent/total, 1)
		}
		shares[id] = min(part, 1) * l.shareInContact(id)
	}
	l.remove(s)
	s.isLost = true
	for id, share := range shares {
		if s.entries[id] == nil {
			s.entries[id] = &entry{}
		}
		s.entries[id].lostShare = share
	}
}

// stop ends the extrapolation of a source that has ended, or the reserve for it. Its spending stays
// until it is older than the window.
func (l *Ledger) stop(s *source) {
	l.remove(s)
	for _, e := range s.entries {
		e.perSecond, e.olderPerSecond, e.lostShare = 0, 0, 0
	}
	s.isLost = false
	l.add(s)
}

// shareInContact returns the share of the account's quota that belongs to this instance and those
// in contact.
func (l *Ledger) shareInContact(id uint64) float64 {
	reserved := 0.0
	for _, s := range l.sources {
		if !s.isLost || s.instances == 0 {
			continue
		}
		if e := s.entries[id]; e != nil {
			reserved += e.lostShare
			continue
		}
		reserved += float64(s.instances) / float64(l.instances)
	}
	return max(1-reserved, 0)
}

// shareInContactByCount returns the part of the instances that are in contact.
func (l *Ledger) shareInContactByCount() float64 {
	lost := 0
	for _, s := range l.sources {
		if s.isLost {
			lost += s.instances
		}
	}
	return 1 - float64(lost)/float64(l.instances)
}

// inContact returns the number of instances in contact, this one included.
func (l *Ledger) inContact() float64 {
	return max(float64(l.instances)*l.shareInContactByCount(), 1)
}

// forget drops what no longer matters: sources that have ended, and accounts without spending in
// the window.
func (l *Ledger) forget(now time.Time) {
	released := 0
	for _, s := range l.sources {
		if s.isLost && now.Sub(s.at) > silenceLimit {
			released += s.instances
		}
	}
	mayRelease := float64(released) <= maxReleasedShare*float64(l.instances)
	last, slots := slotOf(now), l.windowSlots()
	for from, s := range l.sources {
		isSilent := now.Sub(s.at) > silenceLimit
		if s.isLost && isSilent && mayRelease {
			s.instances = 0
		}
		if s.instances == 0 && now.Sub(s.at) > l.bounds.Window+silenceLimit {
			l.remove(s)
			delete(l.sources, from)
			continue
		}
		for id, e := range s.entries {
			if !s.isLost && e.perSecond == 0 && e.spent.sum(last, slots) == 0 {
				l.account(id).add(s, e, l.sinceEpoch(e.at), -1)
				delete(s.entries, id)
			}
		}
	}
	for address, at := range l.toldAt {
		if now.Sub(at) > silenceLimit {
			delete(l.toldAt, address)
		}
	}
	for id, a := range l.accounts {
		if a.instances.isNegligible() && a.domains.isNegligible() && a.own.sum(last, slots) == 0 && a.others.sum(last, slots) < negligible && now.After(a.returnAt) {
			delete(l.accounts, id)
		}
	}
}
