package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// MaxQueuedRequests bounds the requests that wait in one pool.
	MaxQueuedRequests = 1024
	// BatchPromotionAge is the wait after which a batch request counts as interactive.
	BatchPromotionAge = 10 * time.Second
	// fairnessQuantumRequests is how far, in requests, one account may run ahead of another.
	fairnessQuantumRequests = 4
	drainRateGain           = 0.2
)

// QueuedRequest is a request in the queue.
type QueuedRequest[T any] struct {
	// Value is what the caller stored.
	Value T
	// Class and Account order the request.
	Class   cwservice.Class
	Account string
	// Deadline is when an answer is of no more use; At is when it came.
	Deadline, ArrivedAt time.Time
	// Requirements is what the request needs, and Avoid an endpoint not to use.
	Requirements    *Requirements
	ExcludedAddress string
}

// Queue holds requests until an endpoint has a free slot: interactive before
// batch, accounts in turn within a bound, the earliest deadline first.
type Queue[T any] struct {
	accountQueues  map[string]*accountQueue[T]
	length         int
	minServed      float64
	drainPerSecond float64
	lastPoppedAt   time.Time
}

// accountQueue holds the waiting requests of one account in order of arrival.
type accountQueue[T any] struct {
	items          []QueuedRequest[T]
	servedRequests float64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{accountQueues: make(map[string]*accountQueue[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// PredictWait predicts how long a request that came now would wait.
func (q *Queue[T]) PredictWait() time.Duration {
	if q.length == 0 || q.drainPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(q.length) / q.drainPerSecond * float64(time.Second))
}

// CanAdmit reports whether a request with the deadline is likely to be served in
// time and the queue has room.
func (q *Queue[T]) CanAdmit(deadline, now time.Time) bool {
	return q.length < MaxQueuedRequests && now.Add(q.PredictWait()).Before(deadline)
}

// Push adds a request.
func (q *Queue[T]) Push(w QueuedRequest[T]) {
	l := q.accountQueues[w.Account]
	if l == nil {
		l = &accountQueue[T]{servedRequests: q.minServed}
		q.accountQueues[w.Account] = l
	}
	if q.length == 0 {
		q.lastPoppedAt = w.ArrivedAt
	}
	l.items = append(l.items, w)
	q.length++
}

// Pop removes the request that is to run next.
func (q *Queue[T]) Pop(now time.Time) (QueuedRequest[T], bool) {
	account, i, ok := q.findNext(now)
	if !ok {
		var none QueuedRequest[T]
		return none, false
	}
	l := q.accountQueues[account]
	w := l.items[i]
	q.removeAt(account, i)
	l.servedRequests++
	q.updateDrainRate(now)
	return w, true
}

// Peek returns the request that Pop would return.
func (q *Queue[T]) Peek(now time.Time) (QueuedRequest[T], bool) {
	account, i, ok := q.findNext(now)
	if !ok {
		var none QueuedRequest[T]
		return none, false
	}
	return q.accountQueues[account].items[i], true
}

// Remove drops the first request that matches, such as one whose caller is gone.
func (q *Queue[T]) Remove(match func(T) bool) bool {
	for account, l := range q.accountQueues {
		for i := range l.items {
			if match(l.items[i].Value) {
				q.removeAt(account, i)
				return true
			}
		}
	}
	return false
}

func (q *Queue[T]) removeAt(account string, i int) {
	l := q.accountQueues[account]
	l.items = append(l.items[:i], l.items[i+1:]...)
	q.length--
	if len(l.items) == 0 {
		delete(q.accountQueues, account)
	}
}

// updateDrainRate learns the rate at which requests leave the queue.
func (q *Queue[T]) updateDrainRate(now time.Time) {
	gap := now.Sub(q.lastPoppedAt).Seconds()
	q.lastPoppedAt = now
	rate := 1 / max(gap, 0.001)
	if q.drainPerSecond == 0 {
		q.drainPerSecond = rate
		return
	}
	// Averaging the gap, not the rate, keeps bursts from looking like speed.
	q.drainPerSecond = 1 / ((1-drainRateGain)/q.drainPerSecond + drainRateGain/rate)
}

func (q *Queue[T]) findNext(now time.Time) (string, int, bool) {
	account, index, found := "", 0, false
	var best QueuedRequest[T]
	q.minServed = q.findMinServed()
	for name, l := range q.accountQueues {
		if l.servedRequests > q.minServed+fairnessQuantumRequests {
			continue
		}
		for i := range l.items {
			w := &l.items[i]
			if found && !precedes(w, &best, now) {
				continue
			}
			account, index, best, found = name, i, *w, true
		}
	}
	return account, index, found
}

func (q *Queue[T]) findMinServed() float64 {
	first, low := true, q.minServed
	for _, l := range q.accountQueues {
		if first || l.servedRequests < low {
			low, first = l.servedRequests, false
		}
	}
	return low
}

func precedes[T any](a, b *QueuedRequest[T], now time.Time) bool {
	if ra, rb := rankClass(a, now), rankClass(b, now); ra != rb {
		return ra < rb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

func rankClass[T any](w *QueuedRequest[T], now time.Time) int {
	if w.Class == cwservice.Batch && now.Sub(w.ArrivedAt) < BatchPromotionAge {
		return 1
	}
	return 0
}
