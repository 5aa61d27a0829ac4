package cwsoak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// calmPeriod is the calm before an instance stops: a window of a quota, and the time in which
	// requests are checked.
	calmPeriod = quotaWindow + 2*time.Second
	// brittleSlots is the number of slots of a brittle worker, and brittleQueue that of requests
	// that may wait there. brittleCallers with long streams are more than all slots together.
	brittleSlots, brittleQueue, brittleCallers = 6, 1, 36
	// brittleSampling is the interval between two looks at the workers.
	brittleSampling = 10 * time.Millisecond
)

// runCalm lets one account use its quota evenly beside one that jumps, with no fault in force, while
// workers say that they are brittle and have all their slots in use. Then it stops an instance. From
// contactTime after the first statement no worker may be at work on more requests than it has
// slots, and one that waits.
func (s *soakRun) runCalm(rng *rand.Rand) {
	ctx, stop := context.WithCancel(context.Background())
	var callers, sampling sync.WaitGroup
	for n := range brittleCallers {
		c := &caller{s: s, kinds: []requestKind{{route: "reel", isLong: true, tokens: "90,30"}}, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		callers.Go(func() { c.run(ctx, n) })
	}
	s.setBrittle(brittleSlots, "8")
	steadyRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
	start := time.Now()
	var most int
	sampling.Go(func() { most = s.sampleRunning(ctx, start.Add(contactTime)) })
	sent, refused := s.runSteadyAccount(steadyRNG, calmPeriod)
	s.t.Logf("%d requests within a quota in calm, %d refused for it", sent, refused)
	if sent == 0 || float64(refused) >= refusedShare*float64(sent) && refused > 0 {
		s.t.Errorf("%d of %d requests within a quota were refused for it in calm, want fewer than 1 of 1,000", refused, sent)
	}
	p := s.instances[rng.IntN(len(s.instances))]
	s.restart(p)
	stop()
	sampling.Wait()
	s.t.Logf("at most %d requests at a brittle worker of %d slots", most, brittleSlots)
	if most > brittleSlots+brittleQueue {
		s.t.Errorf("%d requests at a brittle worker, it has %d slots", most, brittleSlots)
	}
	s.setBrittle(0, "")
	callers.Wait()
	s.waitUntilServing()
}

// setBrittle sets the slots of the engines, and whether they say that they are brittle.
func (s *soakRun) setBrittle(slots int, statement string) {
	s.mu.Lock()
	s.variant.engineSlots = slots
	s.mu.Unlock()
	for _, w := range s.workers {
		w.SetHeader("Server-Brittle", statement)
	}
	s.publishConfig()
}

// sampleRunning returns the most requests that a worker was at work on from a time until the context
// ends.
func (s *soakRun) sampleRunning(ctx context.Context, from time.Time) int {
	most := 0
	for ctx.Err() == nil {
		for _, o := range s.observers[:len(s.workers)] {
			o.mu.Lock()
			if time.Now().After(from) {
				most = max(most, o.running)
			}
			o.mu.Unlock()
		}
		<-time.After(brittleSampling)
	}
	return most
}
