package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// streamsPerGateway is the number of streams at each instance.
	streamsPerGateway = 3
	// streamEvents and eventInterval are the events of a stream and the time between two.
	streamEvents, eventInterval = 8, 500 * time.Millisecond
	// streamTime is the time from the beginning of the streams to the break.
	streamTime = 1800 * time.Millisecond
	// downTime is how long the processes are down.
	downTime = 500 * time.Millisecond
	// earlyTakeUp and lateTakeUp are the times from the break to the client's next two attempts. At the
	// second all instances are in touch again.
	earlyTakeUp, lateTakeUp = 1500 * time.Millisecond, 7500 * time.Millisecond
)

// herdCounts are what became of the streams, of those that were taken up at instances in touch and of
// the new ones at that time.
type herdCounts struct {
	mu                          sync.Mutex
	broken, takenUp, goneOn     int
	sent, begun, early, earlyOn int
}

// playHerd kills all processes of the system at one moment while streams run, and starts them again.
// The workers are calm, and all run one software version from beginning to end. Clients take their
// streams up twice, the second time at instances that are in touch again. It checks that the share of
// these that goes on is not under half of the share of new streams that begin. Without the trouble the
// clients' connections break instead.
func playHerd(f *fleet, hasTrouble bool) (bool, error) {
	f.store.put("op/config", streamConfig())
	for zone := range places {
		for n := range 3 {
			if err := f.addEngine("pool", zone, n+1, streamEvents, eventInterval); err != nil {
				return false, err
			}
		}
	}
	if err := f.startGateways(); err != nil {
		return false, err
	}
	if err := f.awaitServing("/look/", 20*time.Second); err != nil {
		return false, err
	}
	f.logf("all instances serve")
	time.Sleep(contactTime + 2*time.Second)
	counts := &herdCounts{}
	broken := make(chan struct{})
	var wg sync.WaitGroup
	for n, g := range f.gateways {
		next := f.gateways[(n+1)%len(f.gateways)]
		for range streamsPerGateway {
			wg.Go(func() { f.runStream(g, next, broken, hasTrouble, counts) })
		}
	}
	time.Sleep(streamTime)
	if hasTrouble {
		for _, g := range f.gateways {
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
		}
		f.logf("all processes of the system are killed")
	}
	brokenAt := time.Now()
	close(broken)
	if hasTrouble {
		for _, g := range f.gateways {
			_ = g.cmd.Wait()
		}
		time.Sleep(downTime)
		for _, g := range f.gateways {
			if err := g.start(); err != nil {
				return false, err
			}
		}
		f.logf("all processes are started again")
	}
	time.Sleep(time.Until(brokenAt.Add(lateTakeUp)))
	for _, g := range f.gateways {
		for range streamsPerGateway {
			wg.Go(func() { f.beginStream(g, counts) })
		}
	}
	wg.Wait()
	f.logf("%d streams broke; %v later %d of %d that were taken up went on", counts.broken, earlyTakeUp, counts.earlyOn, counts.early)
	f.logf("%v after the break, at instances in touch: %d of %d streams that were taken up went on; %d of %d new streams began", lateTakeUp, counts.goneOn, counts.takenUp, counts.begun, counts.sent)
	if counts.sent == 0 || counts.takenUp+counts.earlyOn < 12 {
		return false, fmt.Errorf("%w: %d streams broke", errUnusable, counts.broken)
	}
	if counts.takenUp < 12 {
		return false, nil
	}
	return float64(counts.goneOn)/float64(counts.takenUp) < float64(counts.begun)/float64(counts.sent)/2, nil
}

// runStream begins a stream and takes it up after its break, twice if the first attempt does not go on.
func (f *fleet) runStream(g, next *gateway, broken <-chan struct{}, hasTrouble bool, counts *herdCounts) {
	begunAt := time.Now()
	s, err := g.openStream("/assist/x", f.newID("stream"), "", "", streamDeadline)
	if err == nil {
		go func() {
			<-broken
			if !hasTrouble {
				_ = s.conn.Close()
			}
		}()
		s.readAll()
	}
	if err != nil || s.isComplete || len(s.events) == 0 {
		f.logf("no broken stream at %s: %v", g.ip, err)
		return
	}
	<-broken
	brokenAt := time.Now()
	counts.mu.Lock()
	counts.broken++
	counts.mu.Unlock()
	last := s.events[len(s.events)-1]
	delays := []time.Duration{earlyTakeUp, lateTakeUp}
	if !hasTrouble {
		delays = delays[1:]
	}
	for _, delay := range delays {
		time.Sleep(time.Until(brokenAt.Add(delay)))
		id := f.newID("again")
		resumed, err := next.openStream("/assist/x", id, s.id, last, time.Until(begunAt.Add(streamDeadline)))
		if err == nil {
			resumed.readAll()
		}
		hasGoneOn := err == nil && len(resumed.events) > 0
		status, text := 0, ""
		if resumed != nil {
			status, text = resumed.status, resumed.text
		}
		f.logf("%s, broken after event %s, taken up %v after the break at %s as %s: %d %q, went on: %v", s.id, last, delay, next.ip, id, status, text, hasGoneOn)
		counts.mu.Lock()
		if delay == earlyTakeUp {
			counts.early++
		} else {
			counts.takenUp++
		}
		if hasGoneOn && delay == earlyTakeUp {
			counts.earlyOn++
		} else if hasGoneOn {
			counts.goneOn++
		}
		counts.mu.Unlock()
		if hasGoneOn {
			return
		}
	}
}

// beginStream begins a new stream and counts whether it begins.
func (f *fleet) beginStream(g *gateway, counts *herdCounts) {
	s, err := g.openStream("/assist/new", f.newID("new"), "", "", streamDeadline)
	if err == nil {
		err = s.readEvent()
		_ = s.conn.Close()
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	if err == nil {
		counts.begun++
		return
	}
	status := 0
	if s != nil {
		status = s.status
	}
	f.logf("new stream at %s: %d %v", g.ip, status, http.StatusText(status))
}
