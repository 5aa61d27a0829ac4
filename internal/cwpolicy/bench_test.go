package cwpolicy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func newBenchPool(n int) *cwpolicy.Pool {
	pool := cwpolicy.NewPool()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		e := cwpolicy.NewEndpoint(fmt.Sprintf("10.%d.%d.%d:90", i>>16, i>>8&255, i&255), start)
		e.RecordContact(1, false, start)
		e.OnReport(cwpolicy.LoadReport{ReportedAt: start, RunningRequests: rng.IntN(8), WaitingTokens: rng.IntN(4000), Slots: 16})
		pool.Add(e)
	}
	return pool
}

// BenchmarkChoose measures one endpoint choice together with the recording of its
// dispatch, first token and end.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 65, 200, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			pool := newBenchPool(n)
			rng := rand.New(rand.NewPCG(2, 2))
			prompt := make([]byte, 8192)
			prefix := cwpolicy.AppendPrefixHashes(nil, 1, prompt)
			requirements := &cwpolicy.Requirements{PromptTokens: 2000, PrefixHashes: prefix, FirstTokenTarget: time.Second, Weights: cwservice.Weights{Tail: 1, Cost: 1}}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				choice, ok := pool.Choose(requirements, "", now, rng)
				if !ok {
					b.Fatal("no endpoint")
				}
				pool.OnDispatch(choice, requirements, now)
				choice.Endpoint.OnFirstToken(&choice, 100*time.Millisecond, now)
				choice.Endpoint.OnEnd(0, time.Second, now)
			}
		})
	}
}

// BenchmarkHashRing compares a lookup on the hash ring with a scan for the highest
// hash, which needs no state.
func BenchmarkHashRing(b *testing.B) {
	for _, n := range []int{65, 200, 12_000} {
		endpoints := newBenchPool(n).Endpoints()
		ring := cwpolicy.NewHashRing(endpoints, func(e *cwpolicy.Endpoint) string { return e.Address })
		b.Run(fmt.Sprintf("ring/endpoints=%d", n), func(b *testing.B) {
			for i := uint64(0); b.Loop(); i++ {
				ring.Lookup(i*0x9e3779b97f4a7c15, 0)
			}
		})
		b.Run(fmt.Sprintf("highest/endpoints=%d", n), func(b *testing.B) {
			for i := uint64(0); b.Loop(); i++ {
				best, at := uint64(0), 0
				for k := range endpoints {
					if h := (i ^ uint64(k)) * 0x9e3779b97f4a7c15; h > best {
						best, at = h, k
					}
				}
				_ = endpoints[at]
			}
		})
	}
}

// BenchmarkIndexedList compares removal and insertion with those of a plain slice.
func BenchmarkIndexedList(b *testing.B) {
	for _, n := range []int{65, 200, 12_000} {
		b.Run(fmt.Sprintf("swap/endpoints=%d", n), func(b *testing.B) {
			list := cwpolicy.NewIndexedList[int, int]()
			for i := range n {
				list.Set(i, i)
			}
			for i := 0; b.Loop(); i++ {
				list.Remove(i % n)
				list.Set(i%n, i)
			}
		})
		b.Run(fmt.Sprintf("shift/endpoints=%d", n), func(b *testing.B) {
			list := make([]int, n)
			for i := range list {
				list[i] = i
			}
			for i := 0; b.Loop(); i++ {
				for k, v := range list {
					if v == i%n {
						list = append(list[:k], list[k+1:]...)
						break
					}
				}
				list = append(list, i%n)
			}
		})
	}
}

// BenchmarkQueue measures the removal of the next request and the addition of another.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			queue := cwpolicy.NewQueue[int]()
			push := func(i int) {
				queue.Push(cwpolicy.QueuedRequest[int]{Value: i, Class: cwservice.Interactive, Account: fmt.Sprint(i % 20), Deadline: start.Add(time.Duration(i*7919%1000) * time.Millisecond), ArrivedAt: start})
			}
			for i := range n {
				push(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				queue.Pop(start)
				push(i)
			}
		})
	}
}
