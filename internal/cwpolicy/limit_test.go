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

// TestLimitOvershootIsBounded shares a limit of 100 a second between instances
// whose demand changes at random, and cuts them off from each other at random.
// Over any ten seconds they together let at most twice the limit pass.
func TestLimitOvershootIsBoundedUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, seconds = 100.0, 60
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		sets := make([]*cwpolicy.Limits, n)
		for i := range sets {
			sets[i] = cwpolicy.NewLimits()
			sets[i].SetInstanceCount(n)
		}
		var passed [seconds]int
		demand := make([]float64, n)
		for second := range seconds {
			cut := rapid.IntRange(0, 9).Draw(t, "cut") < 3
			for i, set := range sets {
				for k := range rapid.IntRange(0, 200).Draw(t, "arrivals") {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(k)*4*time.Millisecond)
					if set.Allow(limitKey, total, now) {
						passed[second]++
					}
				}
				demand[i] = 0
				for _, d := range set.UpdateDemands(start.Add(time.Duration(second+1) * time.Second)) {
					demand[i] = d.RequestsPerSecond
				}
			}
			for i, set := range sets {
				others := 0.0
				for j := range sets {
					if j != i {
						others += demand[j]
					}
				}
				if !cut {
					set.UpdateShare(limitKey, others, start.Add(time.Duration(second+1)*time.Second))
				}
			}
		}
		for from := 0; from+10 <= seconds; from++ {
			sum := 0
			for _, p := range passed[from : from+10] {
				sum += p
			}
			if float64(sum) > 2*10*total {
				t.Fatalf("%d passed in ten seconds from %d, limit %v a second", sum, from, total)
			}
		}
	})
}

func TestQueueIsFairAndPunctual(t *testing.T) {
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
	is.True(position("soon") < 8)                // a burst of one account does not hold the other up
	is.True(position("soon") < position("late")) // the earlier deadline first
	is.True(position("batch") > position("late"))
}

func TestOldBatchRequestIsServed(t *testing.T) {
	is := is.New(t)
	q := cwpolicy.NewQueue[string]()
	q.Push(cwpolicy.QueuedRequest[string]{Value: "batch", Account: "a", Class: cwservice.Batch, Deadline: start.Add(20 * time.Second), ArrivedAt: start})
	now := start.Add(cwpolicy.BatchPromotionAge)
	q.Push(cwpolicy.QueuedRequest[string]{Value: "new", Account: "b", Class: cwservice.Interactive, Deadline: now.Add(time.Minute), ArrivedAt: now})
	w, _ := q.Pop(now)
	is.Equal(w.Value, "batch")
}

func TestRetryBudgetEndsStorms(t *testing.T) {
	is := is.New(t)
	b := cwpolicy.NewRetryBudget()
	for range 1000 {
		b.OnSuccess(0.1)
	}
	retries := 0
	for range 1000 { // a destination that fails everything
		if b.TrySpend() {
			retries++
		}
	}
	is.Equal(retries, 10)
}
