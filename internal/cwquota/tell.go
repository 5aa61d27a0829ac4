package cwquota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minFullInterval is the time between two messages to the same instance that state all
	// accounts. Messages between them state those close to their quotas. In domains of more than
	// fullPerSecond instances it is longer, which bounds the bytes of one instance.
	minFullInterval = time.Second
	fullPerSecond   = 20
	// maxStatements bounds the statements of one source in a message: 24 bytes each.
	maxStatements = 24
	// hotFraction is the fraction of its rate at which an account is close to its quota.
	hotFraction = 0.7
)

// MessageTo returns what to tell another instance.
func (l *Ledger) MessageTo(peer Source, now time.Time) *Message {
	last := l.toldAt[peer.Address]
	m := &Message{}
	m.SlotPassed = slotPassed(now)
	l.budget.refill(now)
	m.IsPartial = now.Sub(last) < l.fullInterval || l.budget.left <= 0
	if !m.IsPartial {
		l.toldAt[peer.Address] = now
	}
	if peer.Domain != l.self.Domain {
		m.Statements = l.budget.take(l.domainStatements(m.IsPartial, now), m.IsPartial)
		if l.isStarting(now) {
			// The spending of the other instances of the domain is not known yet.
			m.IsPartial, m.Statements = true, nil
		}
		return m
	}
	m.Statements = l.budget.take(l.ownStatements(m.IsPartial, now), m.IsPartial)
	m.Relayed = l.relayed(m.IsPartial, now)
	for i := range m.Relayed {
		m.Relayed[i].Statements = l.budget.take(m.Relayed[i].Statements, m.IsPartial)
	}
	return m
}

// isHot reports whether an account is close to its quota, so that what is spent must be told soon.
func (l *Ledger) isHot(id uint64, a *account, now time.Time) bool {
	own := a.own.sum(slotOf(now), 2) / (2 * slotDuration).Seconds()
	return a.limit.PerSecond > 0 && a.instances.rate+a.domains.rate+own > hotFraction*a.limit.PerSecond*l.shareInContact(id)
}

// ownStatements states the spending of this instance, for the others of its domain.
func (l *Ledger) ownStatements(isPartial bool, now time.Time) []Statement {
	var list []Statement
	for id, a := range l.accounts {
		if !isPartial || l.isHot(id, a, now) {
			list = append(list, statementOf(id, &a.own, l.windowSlots(), now))
		}
	}
	return largest(list)
}

// domainStatements states the spending of all instances of this domain together, for other
// domains. What an instance has not stated yet is extrapolated.
func (l *Ledger) domainStatements(isPartial bool, now time.Time) []Statement {
	totals := make(map[uint64]*timeline)
	for id, a := range l.accounts {
		if !isPartial || l.isHot(id, a, now) {
			own := a.own
			totals[id] = &own
		}
	}
	for _, s := range l.sources {
		if s.isDomain() {
			continue
		}
		for id, e := range s.entries {
			if totals[id] == nil {
				continue
			}
			if s.isLost {
				l.addReserved(totals[id], s, id, now)
				continue
			}
			totals[id].addAll(&e.spent, 1)
			totals[id].add(slotOf(now), e.perSecond*max(now.Sub(e.at), 0).Seconds())
		}
	}
	list := make([]Statement, 0, len(totals))
	for id, t := range totals {
		list = append(list, statementOf(id, t, l.windowSlots(), now))
	}
	return largest(list)
}

// addReserved adds what a lost instance of this domain may spend, since other domains reserve
// nothing for it.
func (l *Ledger) addReserved(t *timeline, s *source, id uint64, now time.Time) {
	if s.instances == 0 {
		return
	}
	perSlot := s.entries[id].lostShare * l.accounts[id].limit.PerSecond * slotDuration.Seconds()
	last := slotOf(now)
	for slot := max(slotOf(s.at), last-int64(l.windowSlots())+1); slot <= last; slot++ {
		t.add(slot, perSlot)
	}
}

// isStarting reports whether this instance has just started and has not heard all others of its domain
// yet.
func (l *Ledger) isStarting(now time.Time) bool {
	if now.Sub(l.epoch) >= minFullInterval {
		return false
	}
	for _, s := range l.sources {
		if !s.isDomain() && s.instances > 0 && s.isLost {
			return true
		}
	}
	return false
}

// isRelayed reports whether the source's statements are told to the other instances of the domain:
// those of another domain that came to this instance itself, while the others may not know them, and
// the last ones of an instance that has ended, for those that have started since.
func (l *Ledger) isRelayed(s *source, isPartial bool, now time.Time) bool {
	switch {
	case s.isLost:
		return false
	case s.isDomain():
		return !s.at.After(s.relayAt) && now.Sub(s.at) <= l.fullInterval
	}
	return s.instances == 0 && !isPartial && now.Sub(s.at) < l.bounds.Window
}

// relayed returns the statements of other sources for an instance of the domain.
func (l *Ledger) relayed(isPartial bool, now time.Time) []Relayed {
	var list []Relayed
	for _, s := range l.sources {
		if !l.isRelayed(s, isPartial, now) {
			continue
		}
		r := Relayed{Source: s.Source, Told: Told{Age: now.Sub(s.at), SlotPassed: s.slotPassed, IsPartial: isPartial}}
		for id, e := range s.entries {
			if a := l.accounts[id]; a != nil && (!isPartial || l.isHot(id, a, now)) && (e.at.Equal(s.at) || !s.isDomain()) {
				r.Statements = append(r.Statements, e.Statement)
			}
		}
		r.Statements = largest(r.Statements)
		if len(r.Statements) > 0 || !isPartial {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Relayed) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Life, b.Life))
	})
	return list
}

// largest returns the largest statements that are not empty, at most maxStatements.
func largest(list []Statement) []Statement {
	list = slices.DeleteFunc(list, func(s Statement) bool { return s.total() <= 0 })
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), maxStatements)]
}
