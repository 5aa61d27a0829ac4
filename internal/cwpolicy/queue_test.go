package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// TestQueueOrder guards against a burst of one account that delays the requests of
// others, and checks that class comes before deadline.
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
		request, ok := q.Pop(start)
		if !ok {
			break
		}
		order = append(order, request.Value)
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
	request, _ := q.Pop(now)
	is.Equal(request.Value, "batch")
}
