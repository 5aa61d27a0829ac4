package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

var limitKey = cwpolicy.LimitKey{Service: "s", Account: "a"}

// TestLimitOvershootIsBoundedUnderAnySchedule shares a limit of 100 requests per
// second among instances whose demand and partitions change at random. In any ten
// seconds they together allow at most twice the limit.
func TestLimitOvershootIsBoundedUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const totalPerSecond, seconds = 100.0, 60
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		sets := make([]*cwpolicy.Limits, n)
		for i := range sets {
			sets[i] = cwpolicy.NewLimits()
			sets[i].SetInstanceCount(n)
		}
		var allowed [seconds]int
		demand := make([]float64, n)
		for second := range seconds {
			isPartitioned := rapid.IntRange(0, 9).Draw(t, "partitioned") < 3
			for i, set := range sets {
				for k := range rapid.IntRange(0, 200).Draw(t, "arrivals") {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(k)*4*time.Millisecond)
					if set.Allow(limitKey, totalPerSecond, now) {
						allowed[second]++
					}
				}
				demand[i] = 0
				for _, d := range set.UpdateDemands(start.Add(time.Duration(second+1) * time.Second)) {
					demand[i] = d.RequestsPerSecond
				}
			}
			for i, set := range sets {
				othersPerSecond := 0.0
				for j := range sets {
					if j != i {
						othersPerSecond += demand[j]
					}
				}
				if !isPartitioned {
					set.UpdateShare(limitKey, othersPerSecond, start.Add(time.Duration(second+1)*time.Second))
				}
			}
		}
		for from := 0; from+10 <= seconds; from++ {
			sum := 0
			for _, p := range allowed[from : from+10] {
				sum += p
			}
			if float64(sum) > 2*10*totalPerSecond {
				t.Fatalf("%d requests allowed in the ten seconds from second %d, limit is %v per second", sum, from, totalPerSecond)
			}
		}
	})
}

// TestQueueOrder checks the order of fairness between accounts, class and deadline.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	q := cwpolicy.NewQueue[string]()
	push := func(value, account string, class cwservice.Class, deadline time.Duration) {
		q.Push(cwpolicy.QueuedRequest[string]{Value: value, Account: account, Class: class, Deadline: start.Add(deadline), ArrivedAt: start})
	}
	for range 20 {
		push("burst", "rival", cwservice.Interactive, 5*time.Second)
	}
	push("late", "small", cwservice.Interactive, 9*time.Second)
	push("soon", "small", cwservice.Interactive, 6*time.Second)
	push("batch", "other", cwservice.Batch, time.Second)
	var order []string
	for {
		w, ok := q.Pop(start)
		if !ok {
			break
		}
		order = append(order, w.Value)
	}
	position := func(value string) int {
		for i, v := range order {
			if v == value {
				return i
			}
		}
		return -1
	}
	is.True(position("soon") < 8)                // a burst of one account does not delay the other account
	is.True(position("soon") < position("late")) // the earlier deadline is served first
	is.True(position("batch") > position("late"))
}

// TestOldBatchRequestIsPromoted guards against batch requests that are never served
// while interactive ones keep arriving.
func TestOldBatchRequestIsPromoted(t *testing.T) {
	is := is.New(t)
	q := cwpolicy.NewQueue[string]()
	q.Push(cwpolicy.QueuedRequest[string]{Value: "batch", Account: "a", Class: cwservice.Batch, Deadline: start.Add(20 * time.Second), ArrivedAt: start})
	now := start.Add(cwpolicy.BatchPromotionAge)
	q.Push(cwpolicy.QueuedRequest[string]{Value: "new", Account: "b", Class: cwservice.Interactive, Deadline: now.Add(time.Minute), ArrivedAt: now})
	w, _ := q.Pop(now)
	is.Equal(w.Value, "batch")
}

// TestRetryBudgetLimitsRetries guards against retry storms at a failing destination.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	b := cwpolicy.NewRetryBudget()
	for range 1000 {
		b.OnSuccess(0.1)
	}
	retries := 0
	for range 1000 { // every request to the destination fails
		if b.TrySpend() {
			retries++
		}
	}
	is.Equal(retries, 10)
}
