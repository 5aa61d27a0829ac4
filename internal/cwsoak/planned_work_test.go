package cwsoak_test

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	plannedRounds = 2
	// signalDelay is how long an instance runs before it gets SIGHUP, which would end a
	// process that has not installed its handler.
	signalDelay = time.Second
)

// runPlannedWork stops and restarts one or two instances at a time, beside SIGHUPs and
// new configurations, while workers and the store fall silent. No fault is injected, so
// nothing excuses a dropped request that was read.
func (s *soakRun) runPlannedWork(rng *rand.Rand) {
	s.setSlowWorkers(true)
	defer s.setSlowWorkers(false)
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
		for isDone := false; !isDone; {
			if p := s.instances[rng.IntN(len(s.instances))]; rng.IntN(2) == 0 {
				s.publishConfig()
			} else if p.runsFor(signalDelay) {
				p.signal(syscall.SIGHUP)
			}
			select {
			case <-time.After(time.Duration(50+rng.IntN(500)) * time.Millisecond):
			case <-done:
				isDone = true
			}
		}
		silences.Wait()
		s.waitUntilServing()
	}
}

// restart stops an instance by SIGTERM and starts it again.
func (s *soakRun) restart(p *gatewayProcess) {
	if took := p.stop(syscall.SIGTERM); took > shutdownGrace {
		s.t.Errorf("instance took %v to stop, want at most its shutdown grace period of %v", took, shutdownGrace)
	}
	p.start()
}

func (s *soakRun) setSlowWorkers(isSlow bool) {
	for _, o := range s.observers {
		o.setSlow(isSlow)
	}
}
