package cwstream

import (
	"sync"
	"time"
)

const (
	// maxRecords bounds the streams of an instance and of those that tell it theirs: 1,000 a
	// second that last a minute.
	maxRecords = 1 << 16
	// maxUntold bounds the streams that wait to be told to other instances.
	maxUntold = 4096
	// maxRetention bounds how long a stream is remembered, whatever its deadline.
	maxRetention = 10 * time.Minute
	// expiryMargin is added to the deadline, since callers measure it by their own clock.
	expiryMargin = time.Second
	// sweepInterval is the interval at which expired records are removed.
	sweepInterval = 5 * time.Second
)

// Ledger holds the origins of the streams that this instance began, and of those that other
// instances told it. Its methods may be called concurrently.
type Ledger struct {
	mu      sync.Mutex
	records map[ID]entry
	// uncertain are the streams whose origin turned out to be uncertain, until their deadlines.
	uncertain map[ID]time.Time
	// untold are the streams that this instance began and has not told yet.
	untold  []ID
	sweptAt time.Time
}

type entry struct {
	origin    Origin
	expiresAt time.Time
	isUntold  bool
	// isObserved is that of the record.
	isObserved bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[ID]entry), uncertain: make(map[ID]time.Time), sweptAt: time.Now()}
}

// Begin records a stream of this instance, to be told to others.
func (l *Ledger) Begin(r Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.Origin.IsKnown() && len(l.uncertain) < maxRecords {
		l.uncertain[r.ID] = r.ExpiresAt.Add(expiryMargin)
	}
	if !l.add(r, now) || len(l.untold) >= maxUntold {
		return
	}
	e := l.records[r.ID]
	e.isUntold = true
	l.records[r.ID] = e
	l.untold = append(l.untold, r.ID)
}

// Complete states that the whole stream was sent. It is kept, since its end may not arrive, but
// need not be told.
func (l *Ledger) Complete(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.records[id]; ok {
		e.isUntold = false
		l.records[id] = e
	}
}

// Forget removes a stream whose origin has turned out to be uncertain.
func (l *Ledger) Forget(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.records[id]; ok && len(l.uncertain) < maxRecords {
		l.uncertain[id] = e.expiresAt
	}
	delete(l.records, id)
}

// ExplainAbsence returns why Find returns no record of a stream.
func (l *Ledger) ExplainAbsence(id ID, now time.Time) Absence {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.uncertain[id]; ok {
		return Uncertain
	}
	if e, ok := l.records[id]; ok && !now.Before(e.expiresAt) {
		return Expired
	}
	return NeverTold
}

// Merge adds streams that other instances began.
func (l *Ledger) Merge(records []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.add(r, now)
	}
}

// add adds or renews a record. It returns false if there is no room. The caller holds mu.
func (l *Ledger) add(r Record, now time.Time) bool {
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
	previous, isKnown := l.records[r.ID]
	if r.IsObserved && l.isContradicted(&r, now) {
		return false
	}
	if !r.Origin.IsKnown() || !isKnown && len(l.records) >= maxRecords {
		return false
	}
	expiresAt := r.ExpiresAt.Add(expiryMargin)
	if latest := now.Add(maxRetention); expiresAt.After(latest) {
		expiresAt = latest
	}
	if isKnown && now.Before(previous.expiresAt) && (!previous.isObserved || r.IsObserved) {
		// What began the stream does not change; a later attempt only renews the record.
		r.Origin, r.IsObserved = previous.origin, previous.isObserved
		if previous.expiresAt.After(expiresAt) {
			expiresAt = previous.expiresAt
		}
	}
	l.records[r.ID] = entry{origin: r.Origin, expiresAt: expiresAt, isUntold: previous.isUntold, isObserved: r.IsObserved}
	return true
}

// isContradicted reports whether an observed record proves nothing: the origin is uncertain, or
// another one was observed too. The caller holds mu.
func (l *Ledger) isContradicted(r *Record, now time.Time) bool {
	if expiresAt, ok := l.uncertain[r.ID]; ok && now.Before(expiresAt) {
		return true
	}
	previous, isKnown := l.records[r.ID]
	if !isKnown || !now.Before(previous.expiresAt) || !previous.isObserved || previous.origin == r.Origin {
		return false
	}
	delete(l.records, r.ID)
	if len(l.uncertain) < maxRecords {
		l.uncertain[r.ID] = previous.expiresAt
	}
	return true
}

// sweep removes the expired records. The caller holds mu.
func (l *Ledger) sweep(now time.Time) {
	l.sweptAt = now
	for id, e := range l.records {
		if !now.Before(e.expiresAt) {
			delete(l.records, id)
		}
	}
	for id, expiresAt := range l.uncertain {
		if !now.Before(expiresAt) {
			delete(l.uncertain, id)
		}
	}
}

// Find returns the record of a stream, false if it is not known.
func (l *Ledger) Find(id ID, now time.Time) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.records[id]
	if !ok || !now.Before(e.expiresAt) {
		return Record{}, false
	}
	return Record{ID: id, Origin: e.origin, ExpiresAt: e.expiresAt.Add(-expiryMargin), IsObserved: e.isObserved}, true
}

// Len returns the number of streams.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// TakeUntold returns the streams to tell other instances. Each is returned once.
func (l *Ledger) TakeUntold(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for _, id := range l.untold {
		e, ok := l.records[id]
		if !ok || !e.isUntold || !now.Before(e.expiresAt) {
			continue
		}
		e.isUntold = false
		l.records[id] = e
		records = append(records, Record{ID: id, Origin: e.origin, ExpiresAt: e.expiresAt.Add(-expiryMargin)})
	}
	l.untold = l.untold[:0]
	return records
}
