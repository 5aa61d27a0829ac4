// Package cwcrash decides which requests end endpoints. Each instance records under which
// requests it saw endpoints end, and which requests did not end theirs; instances exchange
// these records, and all derive the same blocks from the same records.
package cwcrash

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRecords bounds the traits with evidence, and maxSuspects those of one end.
	maxRecords  = 2048
	maxSuspects = 64
	// retention is how long evidence is kept after the latest end, and a block after the latest
	// request that it refused.
	retention = 10 * time.Minute
	// changeReportPeriod is how long a change is told to the other instances. It covers several
	// exchanges.
	changeReportPeriod = 15 * time.Second
	// maxOldReported bounds the records in one message that are neither blocked nor changed
	// lately: instances that were cut off don't know them.
	maxOldReported = 4
	// expiryInterval is the interval at which old evidence is removed.
	expiryInterval = time.Second
	// verdictInterval is the shortest time between two verdicts of a ledger with more than
	// maxImmediateRecords records. While many endpoints end at once, evidence about hundreds of
	// traits arrives with each exchange.
	verdictInterval     = 250 * time.Millisecond
	maxImmediateRecords = 64
)

// Ledger holds the evidence of an instance. Its methods may be called concurrently.
type Ledger struct {
	// salt distinguishes the survivals that this instance remembers from those of others.
	salt uint64
	// changed gets a value when evidence was added that others must be told without delay.
	changed chan struct{}
	// verdict is what follows from records; nil if there are none.
	verdict atomic.Pointer[verdict]
	// onBlocks is called with the blocks that are new, and those that have ended.
	onBlocks func(begun, ended []*Block)

	// mu guards the fields below.
	mu      sync.Mutex
	records map[Trait]*record
	recent  recentSurvivals
	// decidedAt is when verdict was last derived, and isOutdated is set if records have changed
	// since.
	decidedAt  time.Time
	isOutdated bool
	expiredAt  time.Time
}

// record is the evidence about a trait. changedAt is the time of the latest change.
type record struct {
	Evidence
	changedAt time.Time
	// reports is the number of messages that had the record since the latest change.
	reports int
}

// NewLedger returns an empty ledger. The incarnation identifies the instance. onBlocks is
// called when blocks begin or end, while the ledger is locked.
func NewLedger(incarnation uint64, onBlocks func(begun, ended []*Block)) *Ledger {
	return &Ledger{salt: incarnation, changed: make(chan struct{}, 1), onBlocks: onBlocks, records: make(map[Trait]*record), recent: recentSurvivals{startedAt: time.Now()}}
}

// Changed returns a channel that gets a value when Reports has news for other instances.
func (l *Ledger) Changed() <-chan struct{} {
	return l.changed
}

// HasPath reports whether an endpoint ended under a request with the path, so that the identity
// of others with it matters.
func (l *Ledger) HasPath(path Trait) bool {
	v := l.verdict.Load()
	return v != nil && v.paths[path]
}

// IsEmpty reports whether nothing is known, so that no request needs Match.
func (l *Ledger) IsEmpty() bool {
	return l.verdict.Load() == nil
}

// Match returns the block that refuses a request with the traits; nil if there is none.
func (l *Ledger) Match(traits []Trait) *Block {
	v := l.verdict.Load()
	if v == nil {
		return nil
	}
	for _, b := range v.blocks {
		if b.Matches(traits) {
			return b
		}
	}
	return nil
}

// IsSuspect reports whether one of the traits would be blocked after another end.
func (l *Ledger) IsSuspect(traits []Trait) bool {
	v := l.verdict.Load()
	if v == nil {
		return false
	}
	return slices.ContainsFunc(traits, func(t Trait) bool { return v.suspects[t] })
}

// RecordRefusal records that a block has refused a request.
func (l *Ledger) RecordRefusal(b *Block, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range b.Traits {
		if r := l.records[t]; r != nil {
			r.SeenAt = now
		}
	}
}

// RecordEnd records that an endpoint ended under a request with the suspected traits.
func (l *Ledger) RecordEnd(end Event, suspects []Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := false
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		r := l.record(s, end.At)
		if r.addEnd(end) {
			r.changedAt, r.reports, isNew = end.At, 0, true
		}
	}
	if isNew {
		l.update(end.At)
		l.signal()
	}
}

// RecordSurvival records that a request with the traits did not end its endpoint. The
// identifier is that of the request.
func (l *Ledger) RecordSurvival(request uint32, traits []Trait, now time.Time) {
	if len(traits) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := false
	for _, t := range traits {
		l.recent.add(t, now)
		if r := l.records[t]; r != nil && r.addSurvival(Event{ID: request, At: now}) {
			r.changedAt = now
			isNew = isNew || len(r.Ends) >= minEnds-1
		}
	}
	if isNew {
		l.update(now)
		l.signal()
	}
}

// record returns the record of a trait; it adds one if there is none, with the survivals that
// this instance remembers.
func (l *Ledger) record(s Suspect, now time.Time) *record {
	r := l.records[s.Trait]
	if r != nil {
		r.Name = cmp.Or(r.Name, s.Name)
		return r
	}
	if len(l.records) >= maxRecords {
		l.evict()
	}
	r = &record{Evidence: Evidence{Suspect: s}, changedAt: now}
	l.recent.appendTo(&r.Evidence, l.salt)
	l.records[s.Trait] = r
	return r
}

// evict removes the record with the fewest ends, and of these the oldest.
func (l *Ledger) evict() {
	var victim *record
	for _, r := range l.records {
		if victim == nil || len(r.Ends) < len(victim.Ends) || len(r.Ends) == len(victim.Ends) && r.changedAt.Before(victim.changedAt) {
			victim = r
		}
	}
	delete(l.records, victim.Trait)
}

// Merge adds the evidence of another instance.
func (l *Ledger) Merge(reports []*Evidence, now time.Time) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew, mustTell := false, false
	for _, e := range reports {
		if now.Sub(e.lastActivity()) > retention {
			continue
		}
		isKnown := l.records[e.Trait] != nil
		r := l.record(e.Suspect, now)
		if changed := r.merge(e); changed || !isKnown {
			r.changedAt, r.reports, isNew = now, 0, true
			// Survivals alone, of which sound traits have many, wait for the next exchange.
			mustTell = mustTell || len(r.Ends) >= minEnds-1 || !r.LiftedAt.IsZero()
		}
	}
	if isNew {
		l.update(now)
	}
	if mustTell {
		l.signal()
	}
}

// Reports returns the evidence to tell another instance: that of blocks, recent changes, and a
// few older ones, at most limit records, in each group those next to a block first. Equal ones
// take turns, those that were told least first.
func (l *Ledger) Reports(now time.Time, limit int) []*Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == 0 {
		return nil
	}
	l.expire(now)
	if l.isOutdated {
		l.update(now)
	}
	due, old := newMostUrgent(limit), newMostUrgent(maxOldReported)
	blocked := l.blockedTraits()
	for t, r := range l.records {
		isBlocked := blocked[t]
		if isBlocked || now.Sub(r.changedAt) < changeReportPeriod {
			due.add(r, isBlocked)
		} else {
			old.add(r, isBlocked)
		}
	}
	var reports []*Evidence
	for _, r := range append(due.records, old.records...) {
		if len(reports) < limit {
			r.reports++
			reports = append(reports, r.clone())
		}
	}
	return reports
}

// Blocks returns the blocks in force.
func (l *Ledger) Blocks(now time.Time) []*Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.decide(now)
	if v := l.verdict.Load(); v != nil {
		return v.blocks
	}
	return nil
}

// Lift ends the blocks with the trait. It returns false if there is none.
func (l *Ledger) Lift(t Trait, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.Match([]Trait{t})
	if v := l.verdict.Load(); b == nil && v != nil {
		if i := slices.IndexFunc(v.blocks, func(b *Block) bool { return slices.Contains(b.Traits, t) }); i >= 0 {
			b = v.blocks[i]
		}
	}
	if b == nil {
		return false
	}
	for _, t := range b.Traits {
		if r := l.records[t]; r != nil {
			r.lift(now)
			r.changedAt = now
		}
	}
	l.decide(now)
	l.signal()
	return true
}

// expire removes evidence that is older than retention.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expiryInterval {
		return
	}
	l.expiredAt = now
	before := len(l.records)
	for t, r := range l.records {
		if now.Sub(r.lastActivity()) > retention {
			delete(l.records, t)
		}
	}
	if len(l.records) != before {
		l.update(now)
	}
}

func (l *Ledger) blockedTraits() map[Trait]bool {
	blocked := make(map[Trait]bool)
	if v := l.verdict.Load(); v != nil {
		for _, b := range v.blocks {
			for _, t := range b.Traits {
				blocked[t] = true
			}
		}
	}
	return blocked
}

// update derives the verdict from the records anew, at once if they are few. Otherwise a verdict is
// derived at most once within verdictInterval; the next exchange derives one that is left out.
func (l *Ledger) update(now time.Time) {
	if len(l.records) > maxImmediateRecords && now.Sub(l.decidedAt) < verdictInterval {
		l.isOutdated = true
		return
	}
	l.decide(now)
}

// decide derives the verdict from the records anew.
func (l *Ledger) decide(now time.Time) {
	l.decidedAt, l.isOutdated = now, false
	evidence := make(map[Trait]*Evidence, len(l.records))
	for t, r := range l.records {
		evidence[t] = &r.Evidence
	}
	before := l.verdict.Load()
	v := decide(evidence)
	if len(v.blocks) == 0 && len(v.suspects) == 0 && len(v.paths) == 0 {
		v = nil
	}
	l.verdict.Store(v)
	if begun, ended := v.without(before), before.without(v); l.onBlocks != nil && len(begun)+len(ended) > 0 {
		l.onBlocks(begun, ended)
	}
}

// without returns the blocks of v that are not in other. Both may be nil.
func (v *verdict) without(other *verdict) []*Block {
	if v == nil {
		return nil
	}
	var blocks []*Block
	for _, b := range v.blocks {
		if other == nil || !slices.ContainsFunc(other.blocks, func(o *Block) bool { return slices.Equal(o.Traits, b.Traits) }) {
			blocks = append(blocks, b)
		}
	}
	return blocks
}

// signal states that Reports has news.
func (l *Ledger) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}
