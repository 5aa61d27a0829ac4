package cwsoak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// longGrace is the shutdown grace of the users' deployments.
	longGrace = 8 * time.Second
	// lateConnCount is the number of connections that callers have kept when the instance stops.
	lateConnCount = 64
	// minLateDelay and maxLateDelay bound the time from SIGTERM to the request on such a connection:
	// from before the end of accepting to when the instance refuses most requests.
	minLateDelay = 2 * time.Second
	maxLateDelay = 6500 * time.Millisecond
	// silenceDelay is the time from SIGTERM to the silence of all workers.
	silenceDelay = 5 * time.Second
	// quotaPeriod is the period of a processor quota, and quotaRun the part of it that a machine
	// with the share of the users' deployments, 0.4, runs for.
	quotaPeriod = 100 * time.Millisecond
	quotaRun    = 40 * time.Millisecond
	// stallTime is how long a process stands still for want of a processor. Beyond half a second the
	// platform counts a machine as slowed. The stall begins between earliestStall and latestStall
	// before the end of the grace.
	stallTime     = 500 * time.Millisecond
	earliestStall = 1200 * time.Millisecond
	latestStall   = 300 * time.Millisecond
)

// lateKinds are the kinds of requests that come late in the grace.
// Those that take long keep the instance from ending early.
var lateKinds = []requestKind{{route: "safe"}, {route: "once", isUnsafe: true}, {route: "slow", isLong: true}, {route: "late", isLong: true, isUnsafe: true}}

// runLateInGrace stops an instance whose grace is long. All workers fall silent late in the grace, so
// that requests on kept connections, which are expected to be finished in time, are not. Each must get
// a complete response before the process ends, also if it has a processor quota or stands still for a
// moment near the end of the grace.
func (s *soakRun) runLateInGrace(rng *rand.Rand) {
	p := s.instances[rng.IntN(len(s.instances))]
	p.setGrace(longGrace)
	p.stop(syscall.SIGKILL)
	p.start()
	s.waitUntilServing()
	<-time.After(calmTime)
	conns := s.openKeptConns(p)
	ended := make(chan struct{})
	switch rng.IntN(3) {
	case 0:
		s.t.Logf("%s has a processor quota while it stops", p.ip)
		go p.throttle(ended)
	case 1:
		beforeEnd := latestStall + time.Duration(rng.Int64N(int64(earliestStall-latestStall)))
		s.t.Logf("%s stands still for %v, %v before the end of its grace", p.ip, stallTime, beforeEnd)
		time.AfterFunc(longGrace-beforeEnd, func() { p.stall(stallTime) })
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.stopInGrace(p); close(ended) })
	wg.Go(func() {
		<-time.After(silenceDelay)
		s.silenceAll(slices.Concat(s.workerProxies, s.auxProxies), longGrace-silenceDelay, false)
	})
	for _, conn := range conns {
		delay := minLateDelay + time.Duration(rng.Int64N(int64(maxLateDelay-minLateDelay)))
		k := lateKinds[rng.IntN(len(lateKinds))]
		wg.Go(func() { s.sendLate(conn, k, delay) })
	}
	wg.Wait()
	p.setGrace(shutdownGrace)
	p.start()
	s.waitUntilServing()
}

// openKeptConns opens connections to an instance on which a request was answered.
func (s *soakRun) openKeptConns(p *gatewayProcess) []*callerConn {
	var conns []*callerConn
	for range lateConnCount {
		conn, err := dialInstance(p)
		if err != nil {
			s.t.Errorf("open a connection before a stop: %v", err)
			continue
		}
		if resp := conn.exchange(s.newRequest(p, lateKinds[0]), 0); resp.err != nil || resp.isLast {
			s.t.Errorf("%s before a stop: connection not kept: status %d, error %v", resp.requestID, resp.status, resp.err)
			_ = conn.Close()
			continue
		}
		conn.usedAt = time.Now()
		conns = append(conns, conn)
	}
	return conns
}

// sendLate sends a request on a kept connection after a delay, unless the instance has closed it.
func (s *soakRun) sendLate(conn *callerConn, k requestKind, delay time.Duration) {
	defer func() { _ = conn.Close() }()
	<-time.After(delay)
	if info, err := conn.tcpInfo(); err != nil || info.State != tcpEstablished {
		return
	}
	resp := conn.exchange(s.newRequest(conn.instance, k), 0)
	resp.route, resp.idleTime = k.route, resp.startedAt.Sub(conn.usedAt)
	s.checkResponse(resp, k)
	s.recordFailure(resp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateOutcomes[resp.describe()]++
}

// throttle lets the process run for a part of each quotaPeriod only, until done is closed.
func (p *gatewayProcess) throttle(done <-chan struct{}) {
	for {
		p.stall(quotaPeriod - quotaRun)
		select {
		case <-time.After(quotaRun):
		case <-done:
			return
		}
	}
}

// stall makes the process stand still for a duration.
func (p *gatewayProcess) stall(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	<-time.After(d)
	p.signal(syscall.SIGCONT)
}
