package cwsoak_test

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// rateLimitPeriod is how long workers name rate limits in a run, and rateLimitSettling
	// the time after which a limit must hold.
	rateLimitPeriod   = 16 * time.Second
	rateLimitSettling = 6 * time.Second
	// rateLimitStep is the mean time between two changes of a worker's limit.
	rateLimitStep = 5 * time.Second
)

// rateLimits are the limits that workers name, in requests per second.
var rateLimits = []float64{0.5, 1, 1.9, 4, 20}

// runRateLimits lets all workers name limits, lower, raise and withdraw them, while instances
// are paused, killed and restarted. Callers load every instance all the while.
func (s *soakRun) runRateLimits(rng *rand.Rand) {
	var wg sync.WaitGroup
	end := time.Now().Add(rateLimitPeriod)
	for _, w := range s.workers {
		workerRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		wg.Go(func() {
			for time.Now().Before(end) {
				w.SetRateLimit(rateLimits[workerRNG.IntN(len(rateLimits))])
				<-time.After(rateLimitStep/2 + time.Duration(workerRNG.Int64N(int64(rateLimitStep))))
				if workerRNG.IntN(6) == 0 {
					w.ClearRateLimit()
					<-time.After(time.Second)
				}
			}
			w.ClearRateLimit()
		})
	}
	// Instances of one domain are restarted. The requests of the others are never excused.
	restartDomain := s.instances[rng.IntN(len(s.instances))].domain
	for time.Now().Before(end) {
		p := s.instances[rng.IntN(len(s.instances))]
		fault := rng.IntN(8)
		switch {
		case fault == 0 && p.domain == restartDomain:
			p.stop(syscall.SIGKILL)
			p.start()
		case fault == 1 && p.domain == restartDomain:
			s.restart(p)
		case fault == 2:
			s.publishConfig()
		case fault <= 4:
			p.pause(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		}
		<-time.After(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	}
	wg.Wait()
	for n, w := range s.workers {
		domain := s.observers[n].domain
		var freezes []cwstandin.Freeze
		for _, p := range s.instances {
			if p.domain == domain {
				freezes = append(freezes, p.freezes()...)
			}
		}
		if err := w.CheckRateLimit(rateLimitSettling, func(from, to time.Time) bool { return s.hadRestart(domain, from, to) }, freezes...); err != nil {
			s.t.Error(err)
		}
	}
}

// hadRestart reports whether an instance of a domain ended or started between two times, or
// in the settling time before. Its requests are excused then.
func (s *soakRun) hadRestart(domain string, from, to time.Time) bool {
	for _, p := range s.instances {
		if p.domain == domain && p.hadRestart(from.Add(-rateLimitSettling), to) {
			return true
		}
	}
	return false
}
