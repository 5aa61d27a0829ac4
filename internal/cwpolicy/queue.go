package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// MaxQueuedRequests is the maximum number of queued requests of a pool.
	MaxQueuedRequests = 1024
	// BatchPromotionAge is the time in the queue after which a batch request is ranked
	// like an interactive one.
	BatchPromotionAge = 10 * time.Second
	// fairnessQuantumRequests limits the unfairness between accounts: an account that is
	// ahead of the least served waiting one by more than this many requests is skipped.
	fairnessQuantumRequests = 4
	// drainRateGain is the weight of the latest interval in the average drain rate.
	drainRateGain = 0.2
)

// QueuedRequest is a request in the queue.
type QueuedRequest[T any] struct {
	// Value is the value stored by the user of the queue.
	Value T
	// Class and Account determine the order of the request.
	Class   cwservice.Class
	Account string
	// Deadline is the time after which a response is of no use, and ArrivedAt the time
	// at which the request was queued.
	Deadline, ArrivedAt time.Time
	// Requirements describes the request.
	Requirements *Requirements
	// ExcludedAddress is the address of an endpoint that already failed the request, or
	// empty.
	ExcludedAddress string
}

// Queue holds requests until an endpoint has a free slot. Interactive requests come
// before batch requests, then the earliest deadline first. An account that is too
// far ahead of another in requests served is skipped.
type Queue[T any] struct {
	accountQueues map[string]*accountQueue[T]
	length        int
	// minServed is the lowest servedRequests of the waiting accounts. An account that is
	// added starts with it.
	minServed      float64
	drainPerSecond float64
	// lastPoppedAt is when a request was last popped, or when one was last added to the
	// empty queue, whichever is later.
	lastPoppedAt time.Time
}

// accountQueue holds the queued requests of one account in order of arrival.
type accountQueue[T any] struct {
	items          []QueuedRequest[T]
	servedRequests float64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{accountQueues: make(map[string]*accountQueue[T])}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// PredictWait returns the predicted wait of a request that is added now. It is 0 if
// the queue is empty or its drain rate is not known yet.
func (q *Queue[T]) PredictWait() time.Duration {
	if q.length == 0 || q.drainPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(q.length) / q.drainPerSecond * float64(time.Second))
}

// CanAdmit reports whether the queue is not full and a request is likely to leave
// it before the deadline.
func (q *Queue[T]) CanAdmit(deadline, now time.Time) bool {
	return q.length < MaxQueuedRequests && now.Add(q.PredictWait()).Before(deadline)
}

// Push adds a request.
func (q *Queue[T]) Push(request QueuedRequest[T]) {
	queue := q.accountQueues[request.Account]
	if queue == nil {
		queue = &accountQueue[T]{servedRequests: q.minServed}
		q.accountQueues[request.Account] = queue
	}
	if q.length == 0 {
		q.lastPoppedAt = request.ArrivedAt
	}
	queue.items = append(queue.items, request)
	q.length++
}

// Pop removes and returns the next request, or returns false if the queue is empty.
func (q *Queue[T]) Pop(now time.Time) (QueuedRequest[T], bool) {
	account, index, ok := q.findNext(now)
	if !ok {
		var none QueuedRequest[T]
		return none, false
	}
	queue := q.accountQueues[account]
	request := queue.items[index]
	q.removeAt(account, index)
	queue.servedRequests++
	q.updateDrainRate(now)
	return request, true
}

// Peek returns the request that Pop would return, without removing it.
func (q *Queue[T]) Peek(now time.Time) (QueuedRequest[T], bool) {
	account, index, ok := q.findNext(now)
	if !ok {
		var none QueuedRequest[T]
		return none, false
	}
	return q.accountQueues[account].items[index], true
}

// Remove removes the first request that matches, for example one whose caller has
// disconnected. It returns false if none matches.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for account, queue := range q.accountQueues {
		for i := range queue.items {
			if matches(queue.items[i].Value) {
				q.removeAt(account, i)
				return true
			}
		}
	}
	return false
}

func (q *Queue[T]) removeAt(account string, index int) {
	queue := q.accountQueues[account]
	queue.items = append(queue.items[:index], queue.items[index+1:]...)
	q.length--
	if len(queue.items) == 0 {
		delete(q.accountQueues, account)
	}
}

// updateDrainRate updates the average rate at which requests leave the queue.
func (q *Queue[T]) updateDrainRate(now time.Time) {
	intervalSeconds := now.Sub(q.lastPoppedAt).Seconds()
	q.lastPoppedAt = now
	perSecond := 1 / max(intervalSeconds, 0.001)
	if q.drainPerSecond == 0 {
		q.drainPerSecond = perSecond
		return
	}
	// The intervals are averaged, not the rates, because a burst would otherwise raise
	// the average rate too much.
	q.drainPerSecond = 1 / ((1-drainRateGain)/q.drainPerSecond + drainRateGain/perSecond)
}

func (q *Queue[T]) findNext(now time.Time) (string, int, bool) {
	account, index, found := "", 0, false
	var best QueuedRequest[T]
	q.minServed = q.findMinServed()
	for candidate, queue := range q.accountQueues {
		if queue.servedRequests > q.minServed+fairnessQuantumRequests {
			continue
		}
		for i := range queue.items {
			request := &queue.items[i]
			if found && !precedes(request, &best, now) {
				continue
			}
			account, index, best, found = candidate, i, *request, true
		}
	}
	return account, index, found
}

func (q *Queue[T]) findMinServed() float64 {
	isFirst, lowest := true, q.minServed
	for _, queue := range q.accountQueues {
		if isFirst || queue.servedRequests < lowest {
			lowest, isFirst = queue.servedRequests, false
		}
	}
	return lowest
}

func precedes[T any](a, b *QueuedRequest[T], now time.Time) bool {
	if rankA, rankB := rankClass(a, now), rankClass(b, now); rankA != rankB {
		return rankA < rankB
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

func rankClass[T any](request *QueuedRequest[T], now time.Time) int {
	if request.Class == cwservice.Batch && now.Sub(request.ArrivedAt) < BatchPromotionAge {
		return 1
	}
	return 0
}
