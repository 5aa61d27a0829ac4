package cwsoak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	plannedRounds = 2
	// longCallerCount is the number of callers with long responses.
	longCallerCount = 24
	// maxChangeInterval bounds the time between two changes of the configuration or signals
	// in most rounds, and maxSeriesInterval in the others.
	minChangeInterval = 50 * time.Millisecond
	maxChangeInterval = 550 * time.Millisecond
	maxSeriesInterval = 100 * time.Millisecond
	// signalDelay is how long an instance runs before it gets SIGHUP, which would end a
	// process that has not installed its handler.
	signalDelay = time.Second
)

// runPlannedWork stops and restarts one or two instances at a time, beside SIGHUPs and
// changes of the configuration and of the workers' entries, while workers and the store fall
// silent and long responses are under way. No fault is injected, so nothing excuses a
// dropped request that was read.
func (s *soakRun) runPlannedWork(rng *rand.Rand) {
	s.setSlowWorkers(true)
	defer s.setSlowWorkers(false)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer func() { stop(); callers.Wait() }()
	for n := range longCallerCount {
		c := &caller{s: s, kinds: longKinds, rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), isSlow: n%2 == 0}
		callers.Go(func() { c.run(ctx, n) })
	}
	silenceRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
	for range plannedRounds {
		var wg sync.WaitGroup
		done := make(chan struct{})
		first := rng.IntN(len(s.instances))
		for n := range 1 + rng.IntN(2) {
			p := s.instances[(first+n)%len(s.instances)]
			// The second one stops while the first drains or restarts.
			delay := time.Duration(n*rng.IntN(4000)) * time.Millisecond
			wg.Go(func() { <-time.After(delay); s.restart(p) })
		}
		go func() { wg.Wait(); close(done) }()
		var silences sync.WaitGroup
		silences.Go(func() { s.playSilences(silenceRNG, done) })
		s.changeUntil(rng, done)
		silences.Wait()
		s.waitUntilServing()
	}
}

// changeUntil changes the configuration and the workers' entries, and signals instances,
// until done is closed. All changes are taken back then.
func (s *soakRun) changeUntil(rng *rand.Rand, done <-chan struct{}) {
	maxInterval := maxChangeInterval
	if rng.IntN(2) == 0 {
		maxInterval = maxSeriesInterval
	}
	drainingWorker := 0
	for isDone := false; !isDone; {
		p := s.instances[rng.IntN(len(s.instances))]
		switch n := rng.IntN(8); {
		case n < 4:
			s.changeConfig(rng)
		case n == 4:
			// One worker at most drains at a time. It comes back as a new start.
			s.observers[drainingWorker].restarted()
			s.registerWorker(drainingWorker, "ready")
			drainingWorker = rng.IntN(len(s.workers))
			s.registerWorker(drainingWorker, "draining")
		case p.runsFor(signalDelay):
			p.signal(syscall.SIGHUP)
		}
		select {
		case <-time.After(minChangeInterval + time.Duration(rng.Int64N(int64(maxInterval-minChangeInterval)))):
		case <-done:
			isDone = true
		}
	}
	s.observers[drainingWorker].restarted()
	s.registerWorkers()
	s.resetConfig()
}

// restart stops an instance by SIGTERM and starts it again.
func (s *soakRun) restart(p *gatewayProcess) {
	s.stopInGrace(p)
	p.start()
}

// stopInGrace stops an instance by SIGTERM.
func (s *soakRun) stopInGrace(p *gatewayProcess) {
	if took := p.stop(syscall.SIGTERM); took > p.grace {
		s.t.Errorf("instance took %v to stop, want at most its shutdown grace period of %v", took, p.grace)
	}
}

func (s *soakRun) setSlowWorkers(isSlow bool) {
	for _, o := range s.observers {
		o.setSlow(isSlow)
	}
}
