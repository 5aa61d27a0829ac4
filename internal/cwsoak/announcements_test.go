package cwsoak_test

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// announcementPeriod is how long workers state that they are leaving or want a pause.
	announcementPeriod = 16 * time.Second
	// leavingTime is the time from a worker's first response that states it to the worker's restart,
	// and drainTime the part of it in which it may still get requests, which the platform allows.
	leavingTime, drainTime = 6 * time.Second, 4 * time.Second
	// pauseNotice is the time in which all instances of a region are told of a pause, under load.
	pauseNotice = time.Second
	// regionInstances is the number of instances of a region, and arrivalsInPause the number of
	// requests that a worker may get from each in a pause.
	regionInstances, arrivalsInPause = 2, 2
	// takeOverTime is the time in which a worker gets requests once the other one of its region does
	// not, also if it was leaving or in a pause before.
	takeOverTime = 6 * time.Second
)

// runAnnouncements lets one worker of each region at a time state that it is leaving, or that it
// wants a pause, while instances of one region are paused, killed and restarted. Callers load every
// instance all the while.
func (s *soakRun) runAnnouncements(rng *rand.Rand) {
	var wg sync.WaitGroup
	start := time.Now()
	for region := range 2 {
		regionRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		wg.Go(func() {
			for time.Since(start) < announcementPeriod {
				n := s.busyWorker(region)
				if regionRNG.IntN(2) == 0 {
					s.letWorkerLeave(n)
				} else {
					s.letWorkerPause(n, time.Duration(2000+regionRNG.IntN(3000))*time.Millisecond)
				}
			}
		})
	}
	disturbed := s.instances[2*rng.IntN(2):][:regionInstances]
	for time.Since(start) < announcementPeriod {
		p := disturbed[rng.IntN(regionInstances)]
		switch rng.IntN(6) {
		case 0:
			p.stop(syscall.SIGKILL)
			p.start()
		case 1:
			s.restart(p)
		case 2:
			p.pause(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		case 3:
			s.publishConfig()
		}
		<-time.After(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	}
	wg.Wait()
}

// busyWorker returns the worker of a region that got the latest request. Under a light load one of them
// may get all.
func (s *soakRun) busyWorker(region int) int {
	first, second := s.workers[2*region].Arrivals(), s.workers[2*region+1].Arrivals()
	if len(first) == 0 || len(second) > 0 && second[len(second)-1].After(first[len(first)-1]) {
		return 2*region + 1
	}
	return 2 * region
}

// letWorkerLeave lets a worker state that it is leaving while its entry says that it is ready, lapses
// and returns, and then restarts it.
func (s *soakRun) letWorkerLeave(n int) {
	w := s.workers[n]
	w.SetHeader("Server-Leaving", "1")
	saidAt := s.awaitArrival(n, time.Now())
	s.awaitArrival(n^1, saidAt)
	<-time.After(leavingTime / 3)
	s.store.Remove(cwstandin.WorkerKeyPrefix + w.ID)
	<-time.After(leavingTime / 6)
	s.registerWorker(n, "ready")
	<-time.After(time.Until(saidAt.Add(leavingTime)))
	s.checkArrivals(n, "said that it is leaving", saidAt.Add(drainTime), time.Now(), 0)
	w.SetHeader("Server-Leaving", "")
	s.observers[n].restarted()
	s.registerWorker(n, "ready")
}

// letWorkerPause lets a worker reject all requests and ask for a pause of a duration.
func (s *soakRun) letWorkerPause(n int, pause time.Duration) {
	w := s.workers[n]
	w.SetHeader("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	w.SetDefaultFault(cwstandin.FaultReject)
	saidAt := s.awaitArrival(n, time.Now())
	s.awaitArrival(n^1, saidAt)
	<-time.After(time.Until(saidAt.Add(pause)))
	s.checkArrivals(n, "asked for a pause", saidAt.Add(pauseNotice), saidAt.Add(pause), regionInstances*arrivalsInPause)
	w.SetDefaultFault(cwstandin.FaultNone)
	w.SetHeader("Retry-After", "")
}

// awaitArrival waits until a worker gets a request after a time, and returns when it did.
func (s *soakRun) awaitArrival(n int, after time.Time) time.Time {
	for time.Since(after) < takeOverTime {
		if arrivals := s.workers[n].Arrivals(); len(arrivals) > 0 && arrivals[len(arrivals)-1].After(after) {
			return arrivals[len(arrivals)-1]
		}
		<-time.After(time.Millisecond)
	}
	s.t.Errorf("%s got no request within %v", s.workers[n].ID, takeOverTime)
	return time.Now()
}

// checkArrivals checks the number of requests that a worker got within a span of time. An instance of
// its region that was restarted or paused in that time or before is excused.
func (s *soakRun) checkArrivals(n int, statement string, from, to time.Time, limit int) {
	for _, p := range s.instances {
		if p.domain == s.observers[n].domain && (p.hadFault(from.Add(-drainTime), to) || p.hadRestart(from.Add(-drainTime), to)) {
			return
		}
	}
	count := 0
	for _, at := range s.workers[n].Arrivals() {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	if count > limit {
		s.t.Errorf("%s %s: %d requests from %v to %v, allowed %d", s.workers[n].ID, statement, count, from, to, limit)
	}
}
