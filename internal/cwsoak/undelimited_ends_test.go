package cwsoak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// undelimitedCallers is the number of callers with long streams without a length, and
	// undelimitedPause the time before a worker of each region ends.
	undelimitedCallers = 24
	undelimitedPause   = time.Second
)

// runUndelimitedEnds ends workers in the middle of streams that have neither a length nor chunks. Such a
// stream ends as its connection does, and may not pass as complete.
func (s *soakRun) runUndelimitedEnds(rng *rand.Rand) {
	s.setDefaultFault(cwstandin.FaultUndelimitedStream)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range undelimitedCallers {
		c := &caller{s: s, kinds: []requestKind{{route: "tape", isLong: true, tokens: "90,30", isUnsafe: true}}, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		callers.Go(func() { c.run(ctx, n) })
	}
	<-time.After(undelimitedPause)
	for region := range 2 {
		s.crashWorker(2*region+rng.IntN(2), nil)
	}
	stop()
	<-time.After(workerReturn)
	callers.Wait()
	s.setDefaultFault(cwstandin.FaultNone)
	s.waitUntilServing()
}

func (s *soakRun) setDefaultFault(fault cwstandin.WorkerFault) {
	for _, w := range s.workers {
		w.SetDefaultFault(fault)
	}
}
