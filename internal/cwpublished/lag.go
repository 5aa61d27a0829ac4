package cwpublished

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// lateAfter is how long this instance may lack an offered revision before it counts as
	// late: watchGap, a round trip and the rest of a slow call to the store. It leaves three of
	// the 4 s within which changes must be in force.
	lateAfter = time.Second
	// maxOffers bounds the offers that are kept. Peers and the store offer a few revisions a
	// second, and later offers cover those that are not kept.
	maxOffers = 64
)

// Lag is how far the state is behind what the store or peers offered.
type Lag struct {
	// Behind is how long this instance has lacked a revision that it was offered; 0 if it
	// lacks none.
	Behind time.Duration
	// Offered is the oldest of the offered revisions that it lacks, and Source is who offered
	// it: "store" or the address of a peer.
	Offered Revision
	Source  string
	// StoreAge is the time since the store last answered this instance, or since its start.
	StoreAge time.Duration
}

// IsLate reports whether the state is behind for longer than its ordinary delay.
func (l Lag) IsLate() bool {
	return l.Behind >= lateAfter
}

// offer is a revision that the store or a peer has.
type offer struct {
	revision Revision
	source   string
	at       time.Time
}

// lagTracker records the offered revisions that this instance lacks. It logs when the state
// becomes late, and when it is up to date again.
type lagTracker struct {
	*cwcommon.Common

	mu   sync.Mutex
	held Revision
	// offers are the offered revisions above held, in ascending order.
	offers        []offer
	storeAnswerAt time.Time
	isLate        bool
	timer         *time.Timer
}

// recordOffer records that the source has the revision.
func (t *lagTracker) recordOffer(source string, revision Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.held || len(t.offers) == maxOffers || len(t.offers) > 0 && revision <= t.offers[len(t.offers)-1].revision {
		return
	}
	t.offers = append(t.offers, offer{revision: revision, source: source, at: time.Now()})
	if len(t.offers) == 1 {
		t.startTimer(lateAfter)
	}
}

// recordStoreAnswer records that the store has answered a call.
func (t *lagTracker) recordStoreAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeAnswerAt = time.Now()
}

// recordHeld records that this instance has got everything up to the revision from the source.
func (t *lagTracker) recordHeld(source string, revision Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = max(t.held, revision)
	before := t.lag()
	for len(t.offers) > 0 && t.offers[0].revision <= t.held {
		t.offers = t.offers[1:]
	}
	if after := t.lag(); !t.isLate || after.IsLate() {
		return
	}
	t.isLate = false
	t.Metrics.Gauge("published_behind_seconds").Update(0)
	t.Log.Info("published state is up to date again", zap.String("source", source),
		zap.Uint64("revision", revision.StoreRevision()), zap.Duration("behind", before.Behind))
}

// lag returns the lag. The caller holds mu.
func (t *lagTracker) lag() Lag {
	now := time.Now()
	l := Lag{StoreAge: now.Sub(t.storeAnswerAt)}
	if len(t.offers) > 0 {
		oldest := t.offers[0]
		l.Behind, l.Offered, l.Source = now.Sub(oldest.at), oldest.revision, oldest.source
	}
	return l
}

// startTimer checks the lag after the duration. The caller holds mu.
func (t *lagTracker) startTimer(d time.Duration) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = t.AfterFunc(d, "checkLag", t.check)
}

// check logs that the state is late, once until it is up to date again, and sets the gauge.
func (t *lagTracker) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lag()
	if len(t.offers) == 0 {
		return
	}
	if !l.IsLate() {
		t.startTimer(lateAfter - l.Behind)
		return
	}
	t.startTimer(lateAfter)
	t.Metrics.Gauge("published_behind_seconds").Update(l.Behind.Seconds())
	if t.isLate {
		return
	}
	t.isLate = true
	t.Metrics.Counter("published_late").Inc(1)
	t.Log.Warn("published state is late", zap.String("source", l.Source), zap.Uint64("offered", l.Offered.StoreRevision()),
		zap.Uint64("revision", t.held.StoreRevision()), zap.Duration("behind", l.Behind), zap.Duration("storeAge", l.StoreAge))
}
