package cwquota

import "time"

// relayInterval is the time between relays of the statements of another domain. Statements that
// came from it sooner after those that others relayed are not relayed.
const relayInterval = 600 * time.Millisecond

// Receive applies the message of another instance.
func (l *Ledger) Receive(from Source, m *Message, now time.Time) {
	if from == l.self {
		return
	}
	if from.Domain != l.self.Domain {
		from = Source{Domain: from.Domain}
	}
	l.merge(from, &m.Told, true, now)
	if from.isDomain() {
		return
	}
	for i := range m.Relayed {
		r := &m.Relayed[i]
		if r.Source != l.self && (r.Domain != l.self.Domain || !r.isDomain()) {
			l.merge(r.Source, &r.Told, false, now)
		}
	}
}

// merge applies what a source told. What is not newer than the latest is ignored.
func (l *Ledger) merge(from Source, told *Told, isDirect bool, now time.Time) {
	at := now.Add(-told.Age)
	s := l.sources[from]
	if s == nil {
		s = &source{Source: from, instances: 1, isLost: true, entries: make(map[uint64]*entry)}
		l.sources[from] = s
	} else if !at.After(s.at) {
		return
	}
	if s.isLost && told.IsPartial {
		return // the rest of its spending is not known
	}
	l.remove(s)
	if isDirect && at.Sub(s.at) >= relayInterval {
		s.relayAt = at
	}
	if !told.IsPartial {
		s.replace()
	}
	s.at, s.slotPassed, s.isLost = at, told.SlotPassed, false
	for _, statement := range told.Statements {
		before := &timeline{}
		if e := s.entries[statement.Account]; e != nil {
			before = &e.spent
		}
		if s.isDomain() && s.instances == 1 {
			// If it has started again, nobody there knows what it spent before.
			statement.keepOlder(before, at, l.windowSlots())
		}
		s.entries[statement.Account] = &entry{
			Statement: statement, at: at, spent: statement.timeline(before, at, l.windowSlots()),
			perSecond: statement.perSecond(told.SlotPassed, l.windowSlots(), l.bounds.scale()), olderPerSecond: statement.olderPerSecond(l.windowSlots()),
		}
	}
	l.add(s)
}

// replace prepares a source for statements about all that it spends. What it spent on other
// accounts stays until it is older than the window.
func (s *source) replace() {
	if s.isLost {
		clear(s.entries)
		return
	}
	for _, e := range s.entries {
		e.perSecond, e.olderPerSecond = 0, 0
	}
}

// add adds what the source stated to the accounts, unless it is lost.
func (l *Ledger) add(s *source) {
	if s.isLost {
		return
	}
	for id, e := range s.entries {
		l.account(id).add(s, e, l.sinceEpoch(e.at), 1)
	}
}

// remove takes back what add has added.
func (l *Ledger) remove(s *source) {
	if s.isLost {
		return
	}
	for id, e := range s.entries {
		l.account(id).add(s, e, l.sinceEpoch(e.at), -1)
	}
}
