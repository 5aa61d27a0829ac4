package cwsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSilence and maxSilence bound how long a sound server or link passes nothing.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// silenceAftermath is how long after a silence requests must be served as in it.
	silenceAftermath = time.Second
	// silencePeriod is the time that the planned work gives to one silence, with the pause
	// after it.
	silencePeriod = 2500 * time.Millisecond
	// queueFillTimeout is the time after which a connection that fills a listener's queue
	// counts as not taken.
	queueFillTimeout = 20 * time.Millisecond
	listenBacklog    = 4096
	// maxReportedFailures is the number of requests that are reported in full.
	maxReportedFailures = 10
)

// silence makes the proxy pass no byte for a duration. What is sent meanwhile arrives
// afterwards. With holdsConns, the handshake of new connections waits too, as on a silent
// link; otherwise they are accepted, as by the kernel of a silent server.
func (p *proxy) silence(d time.Duration, holdsConns bool) {
	ended := make(chan struct{})
	p.mu.Lock()
	p.silenceEnd = ended
	p.mu.Unlock()
	if holdsConns {
		p.setBacklog(0)
		p.fillQueue()
	}
	<-time.After(d)
	p.setBacklog(listenBacklog)
	p.mu.Lock()
	p.silenceEnd = nil
	p.mu.Unlock()
	close(ended)
}

// awaitSilenceEnd blocks while the proxy is silent.
func (p *proxy) awaitSilenceEnd() {
	p.mu.Lock()
	ended := p.silenceEnd
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// setBacklog sets how many connections beyond one the kernel accepts before the proxy does.
// It drops the handshakes of further ones, which their clients repeat after a second.
func (p *proxy) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
	}
	if err != nil {
		p.t.Errorf("set backlog of %s: %v", p.listener.Addr(), err)
	}
}

// fillQueue opens connections that send nothing until the kernel accepts no more of them.
func (p *proxy) fillQueue() {
	for {
		conn, err := net.DialTimeout("tcp", p.listener.Addr().String(), queueFillTimeout)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// runSilence makes all workers fall silent at once, first as servers, then as links. Nothing
// else happens, and each request has the time to wait, so all of them must be served.
func (s *soakRun) runSilence(rng *rand.Rand) {
	for _, holdsConns := range []bool{false, true} {
		from, sentBefore := time.Now(), s.requests.Load()
		d := randomSilence(rng)
		s.silenceAll(s.workerProxies, d, holdsConns)
		<-time.After(silenceAftermath)
		s.silences = append(s.silences, silence{span: span{from: from, to: time.Now()}, lasts: d, holdsConns: holdsConns, requests: s.requests.Load() - sentBefore})
	}
	// What follows must not affect the last requests, which slow callers send in two parts.
	<-time.After(2 * callerDelay)
}

// silence is a silence of all workers during which no request may fail.
type silence struct {
	span
	lasts      time.Duration
	holdsConns bool
	// requests is the number of requests that were sent in the span.
	requests int64
}

// checkSilences checks that each request that was sent during a silence of the workers, or
// shortly after it, was served.
func (s *soakRun) checkSilences() {
	for _, silence := range s.silences {
		outcomes, failed := make(map[string]int), 0
		for _, resp := range s.unserved {
			if !silence.overlaps(resp.startedAt, resp.startedAt) {
				continue
			}
			outcomes[resp.describe()]++
			failed++
			if failed <= maxReportedFailures {
				s.t.Logf("%s at %s, sent %v after the begin, failed after %v: %s, error %v", resp.requestID, resp.instance.ip, resp.startedAt.Sub(silence.from), resp.endedAt.Sub(resp.startedAt), resp.describe(), resp.err)
			}
		}
		s.t.Logf("%d of %d requests failed beside a silence of %v (connections held: %v): %v", failed, silence.requests, silence.lasts, silence.holdsConns, outcomes)
		if failed > 0 {
			s.t.Errorf("%d of %d requests failed beside a silence of all workers of %v (connections held: %v), want none", failed, silence.requests, silence.lasts, silence.holdsConns)
		}
	}
}

// describe returns the outcome of a request that was not served.
func (r response) describe() string {
	if r.err != nil {
		return "no response"
	}
	return fmt.Sprint(r.status, " ", http.StatusText(r.status))
}

// playSilences makes some or all workers, or the store, fall silent, one after the other
// until done is closed.
func (s *soakRun) playSilences(rng *rand.Rand, done <-chan struct{}) {
	for {
		wait := time.After(silencePeriod)
		d, holdsConns := randomSilence(rng), rng.IntN(2) == 0
		proxies := slices.Concat(s.workerProxies, s.auxProxies)
		switch n := rng.IntN(len(proxies)); rng.IntN(4) {
		case 0:
			s.silenceAll(s.storeProxies, d, holdsConns)
		case 1:
			s.silenceAll(proxies, d, holdsConns)
		default:
			s.silenceAll(proxies[n:n+1], d, holdsConns)
		}
		select {
		case <-wait:
		case <-done:
			return
		}
	}
}

func (s *soakRun) silenceAll(proxies []*proxy, d time.Duration, holdsConns bool) {
	var wg sync.WaitGroup
	for _, p := range proxies {
		wg.Go(func() { p.silence(d, holdsConns) })
	}
	wg.Wait()
}

func randomSilence(rng *rand.Rand) time.Duration {
	return minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
}
