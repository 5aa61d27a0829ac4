package cwquota

import (
	"time"
)

const (
	// instanceContactTimeout and domainContactTimeout are the ages of statements from which on
	// an instance of the own domain, and another domain, count as out of contact. They cover
	// two exchanges, and those between domains are relayed.
	instanceContactTimeout = 2500 * time.Millisecond
	domainContactTimeout   = 3500 * time.Millisecond
)

// Bounds are the limits of what is tolerated beyond a quota.
type Bounds struct {
	// Window is the length of the windows for which a quota holds.
	Window time.Duration
	// Overage is the fraction of the quota, and Slack the amount, that is tolerated beyond it in a
	// window.
	Overage, Slack float64
}

// tolerated returns what may be spent in a window.
func (b Bounds) tolerated(limit Limit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}

// scale returns the spending below which a rate is uncertain, since it is that of few requests.
func (b Bounds) scale() float64 {
	return max(b.Slack, 1)
}

// burstSlack returns the part of the slack that is added to the burst, so that requests within the
// quota are not refused because other instances' spending is overestimated. The rest is for
// spending that is not stated yet, for about a second. The larger the rate, the more that is. Also
// at a small rate it may be a whole request.
func (b Bounds) burstSlack(perSecond float64) float64 {
	return b.Slack * min(b.Slack/max(b.Slack+perSecond, 1), maxBurstSlack)
}

// maxBurstSlack is the largest fraction of the slack that is added to the burst.
const maxBurstSlack = 0.8

// Limit is the quota of an account.
type Limit struct {
	// PerSecond is the rate, and Burst what may be spent at once beyond it.
	PerSecond, Burst float64
}

// Decision is the result of an attempt to spend.
type Decision struct {
	IsAllowed bool
	// RetryAfter is when a refused request fits.
	RetryAfter time.Duration
	// Level is what the account had left before the request, and Share the part of the quota
	// that belongs to the instances in contact, from 0 to 1.
	Level, Share float64
	// InputAge is the age of the oldest statement in use.
	InputAge time.Duration
}

// Ledger is what one instance knows of the spending on all accounts. It is not safe for
// concurrent use.
type Ledger struct {
	self     Source
	bounds   Bounds
	epoch    time.Time
	accounts map[uint64]*account
	sources  map[Source]*source
	// toldAt are the times at which instances were last told of all accounts, by address.
	toldAt map[string]time.Time
	// fullInterval is the time between two messages to an instance that state all accounts.
	fullInterval time.Duration
	budget       statementBudget
	// instances is the number of instances that share the quotas.
	instances int
}

// NewLedger returns the ledger of the instance. The epoch is any time near its start.
func NewLedger(self Source, bounds Bounds, epoch time.Time) *Ledger {
	return &Ledger{self: self, bounds: bounds, epoch: epoch, accounts: make(map[uint64]*account), sources: make(map[Source]*source), toldAt: make(map[string]time.Time), instances: 1, fullInterval: minFullInterval}
}

// SetBounds replaces the bounds.
func (l *Ledger) SetBounds(bounds Bounds) {
	l.bounds = bounds
}

// windowSlots returns the number of slots that cover a window and the slot in progress.
func (l *Ledger) windowSlots() int {
	return min(int(l.bounds.Window/slotDuration)+1, timelineSlots)
}

func (l *Ledger) sinceEpoch(at time.Time) float64 {
	return at.Sub(l.epoch).Seconds()
}

func (l *Ledger) account(id uint64) *account {
	a := l.accounts[id]
	if a == nil {
		a = &account{}
		l.accounts[id] = a
	}
	return a
}

// TrySpend spends the amount on the account if the quota has room for it. An amount larger than
// what the bucket may hold is spent once that is full.
func (l *Ledger) TrySpend(id uint64, limit Limit, amount float64, now time.Time) Decision {
	a := l.account(id)
	a.limit = limit
	a.addAsked(amount)
	b := l.bucket(limit, l.shareInContact(id), now)
	d := Decision{Level: l.level(a, &b, now), Share: b.share, InputAge: l.inputAge(now)}
	missing := min(amount+l.keptForLight(a, &b, amount, now), b.full) - d.Level
	if missing <= 0 && d.Level < lowLevel*b.burst && !l.isWithinPart(id, a, &b, amount, now) {
		missing = amount
	}
	if missing > 0 && !l.mayUseWindow(id, a, &b, amount, now) {
		a.refusedAt = now
		d.RetryAfter = l.reserveReturn(a, missing, amount, b.rate, now)
		return d
	}
	a.own.add(slotOf(now), amount)
	a.spendings++
	d.IsAllowed = true
	return d
}

// Refund takes back the amount that was spent on the account at a time.
func (l *Ledger) Refund(id uint64, amount float64, spentAt time.Time) {
	if a := l.accounts[id]; a != nil {
		a.own.add(slotOf(spentAt), -amount)
	}
}

// maxReturn is the longest time after which a refused caller is told to return.
const maxReturn = 30 * time.Second

// reserveReturn returns when a refused request fits: when the missing amount is there, and after
// the refused callers before it, of which each instance has an even part.
func (l *Ledger) reserveReturn(a *account, missing, amount, rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return maxReturn
	}
	first := now.Add(secondsToDuration(missing / rate))
	if a.returnAt.Before(first) {
		a.returnAt = first
	}
	at := a.returnAt
	a.returnAt = at.Add(secondsToDuration(amount * l.inContact() / rate))
	if limit := now.Add(maxReturn); a.returnAt.After(limit) {
		a.returnAt = limit
	}
	return min(at.Sub(now), maxReturn)
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxReturn.Seconds()) * float64(time.Second))
}

// inputAge returns the age of the oldest statements of a source in contact.
func (l *Ledger) inputAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, s := range l.sources {
		if !s.isLost {
			age = max(age, now.Sub(s.at))
		}
	}
	return age
}
