package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// MaxQueued bounds the requests that wait in one pool.
	MaxQueued = 1024
	// BatchAgeBound is the wait after which a batch request counts as interactive.
	BatchAgeBound = 10 * time.Second
	// fairQuantum is how far, in requests, one account may run ahead of another.
	fairQuantum = 4
	drainGain   = 0.2
)

// Waiting is a request in the queue.
type Waiting[T any] struct {
	// Value is what the caller stored.
	Value T
	// Class and Account order the request.
	Class   cwservice.Class
	Account string
	// Deadline is when an answer is of no more use; At is when it came.
	Deadline, At time.Time
	// Demand is what the request needs, and Avoid an endpoint not to use.
	Demand *Demand
	Avoid  string
}

// Queue holds requests until an endpoint has a free slot: interactive before
// batch, accounts in turn within a bound, the earliest deadline first.
type Queue[T any] struct {
	lanes     map[string]*lane[T]
	n         int
	floor     float64
	drainRate float64
	lastPop   time.Time
}

// lane holds the waiting requests of one account in order of arrival.
type lane[T any] struct {
	items  []Waiting[T]
	served float64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{lanes: make(map[string]*lane[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.n
}

// Wait predicts how long a request that came now would wait.
func (q *Queue[T]) Wait() time.Duration {
	if q.n == 0 || q.drainRate <= 0 {
		return 0
	}
	return time.Duration(float64(q.n) / q.drainRate * float64(time.Second))
}

// Admit reports whether a request with the deadline is likely to be served in
// time and the queue has room.
func (q *Queue[T]) Admit(deadline, now time.Time) bool {
	return q.n < MaxQueued && now.Add(q.Wait()).Before(deadline)
}

// Push adds a request.
func (q *Queue[T]) Push(w Waiting[T]) {
	l := q.lanes[w.Account]
	if l == nil {
		l = &lane[T]{served: q.floor}
		q.lanes[w.Account] = l
	}
	if q.n == 0 {
		q.lastPop = w.At
	}
	l.items = append(l.items, w)
	q.n++
}

// Pop removes the request that is to run next.
func (q *Queue[T]) Pop(now time.Time) (Waiting[T], bool) {
	account, i, ok := q.next(now)
	if !ok {
		var none Waiting[T]
		return none, false
	}
	l := q.lanes[account]
	w := l.items[i]
	q.drop(account, i)
	l.served++
	q.onDrain(now)
	return w, true
}

// Peek returns the request that Pop would return.
func (q *Queue[T]) Peek(now time.Time) (Waiting[T], bool) {
	account, i, ok := q.next(now)
	if !ok {
		var none Waiting[T]
		return none, false
	}
	return q.lanes[account].items[i], true
}

// Remove drops the first request that matches, such as one whose caller is gone.
func (q *Queue[T]) Remove(match func(T) bool) bool {
	for account, l := range q.lanes {
		for i := range l.items {
			if match(l.items[i].Value) {
				q.drop(account, i)
				return true
			}
		}
	}
	return false
}

func (q *Queue[T]) drop(account string, i int) {
	l := q.lanes[account]
	l.items = append(l.items[:i], l.items[i+1:]...)
	q.n--
	if len(l.items) == 0 {
		delete(q.lanes, account)
	}
}

// onDrain learns the rate at which requests leave the queue.
func (q *Queue[T]) onDrain(now time.Time) {
	gap := now.Sub(q.lastPop).Seconds()
	q.lastPop = now
	rate := 1 / max(gap, 0.001)
	if q.drainRate == 0 {
		q.drainRate = rate
		return
	}
	// Averaging the gap, not the rate, keeps bursts from looking like speed.
	q.drainRate = 1 / ((1-drainGain)/q.drainRate + drainGain/rate)
}

func (q *Queue[T]) next(now time.Time) (string, int, bool) {
	account, index, found := "", 0, false
	var best Waiting[T]
	q.floor = q.lowest()
	for name, l := range q.lanes {
		if l.served > q.floor+fairQuantum {
			continue
		}
		for i := range l.items {
			w := &l.items[i]
			if found && !before(w, &best, now) {
				continue
			}
			account, index, best, found = name, i, *w, true
		}
	}
	return account, index, found
}

func (q *Queue[T]) lowest() float64 {
	first, low := true, q.floor
	for _, l := range q.lanes {
		if first || l.served < low {
			low, first = l.served, false
		}
	}
	return low
}

func before[T any](a, b *Waiting[T], now time.Time) bool {
	if ra, rb := rank(a, now), rank(b, now); ra != rb {
		return ra < rb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.At.Before(b.At)
}

func rank[T any](w *Waiting[T], now time.Time) int {
	if w.Class == cwservice.Batch && now.Sub(w.At) < BatchAgeBound {
		return 1
	}
	return 0
}
