package cwgate

import (
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwquota"
	"github.com/clementinewell/clementinewell/internal/cwsite"
)

const (
	// defaultQuotaWindow is the window of quotas if the settings name none.
	defaultQuotaWindow = 8 * time.Second
	// quotaUpdateInterval is the time between two updates of the ledger with the other instances.
	quotaUpdateInterval = 200 * time.Millisecond
)

// Quotas is the ledger of the spending on client accounts, for concurrent use. It is inactive
// while no account has a quota.
type Quotas struct {
	mu        sync.Mutex
	ledger    *cwquota.Ledger
	isActive  bool
	updatedAt time.Time
}

func newQuotas(common *cwcommon.Common, site *cwsite.Site, now time.Time) *Quotas {
	self := cwquota.Source{Address: site.PeerAddress, Life: common.Incarnation, Domain: site.Domain}
	return &Quotas{ledger: cwquota.NewLedger(self, quotaBounds(site.Bounds), now)}
}

func quotaBounds(b cwsite.Bounds) cwquota.Bounds {
	window := b.QuotaWindow
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return cwquota.Bounds{Window: window, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// MessageTo returns what to tell another instance; nil if no account has a quota.
func (q *Quotas) MessageTo(peer cwquota.Source, now time.Time) *cwquota.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isActive {
		return nil
	}
	return q.ledger.MessageTo(peer, now)
}

// Receive applies what another instance told.
func (q *Quotas) Receive(from cwquota.Source, m *cwquota.Message, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Receive(from, m, now)
}

func (q *Quotas) trySpend(charge *quotaCharge, limit cwquota.Limit) cwquota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.TrySpend(charge.account, limit, charge.amount, charge.at)
}

// explain returns the decision about a charge, and the largest amount that would be allowed.
func (q *Quotas) explain(charge *quotaCharge, limit cwquota.Limit) (d cwquota.Decision, spendable float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Explain(charge.account, limit, charge.amount, charge.at), q.ledger.Spendable(charge.account, limit, charge.at)
}

func (q *Quotas) refund(charge *quotaCharge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Refund(charge.account, charge.amount, charge.at)
}

func (q *Quotas) setBounds(b cwsite.Bounds) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetBounds(quotaBounds(b))
}

func (q *Quotas) setActive(isActive bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isActive = isActive
}

// isUpdateDue reports whether the ledger is active and was not updated lately.
func (q *Quotas) isUpdateDue(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isActive && now.Sub(q.updatedAt) >= quotaUpdateInterval
}

func (q *Quotas) update(others []cwquota.Sharer, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updatedAt = now
	q.ledger.Update(others, now)
}
