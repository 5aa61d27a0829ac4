package cwsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// versionLine is the line of an event in which a worker names its version.
var versionLine = regexp.MustCompile(`version: (\S+)\n`)

// workerVersion returns the software version of the nth worker: each domain has two.
func workerVersion(n int) string {
	return fmt.Sprint("v", 1+n%2)
}

// versionsOf returns the versions that wrote events of the bodies.
func versionsOf(bodies ...string) map[string]bool {
	versions := make(map[string]bool)
	for _, match := range versionLine.FindAllStringSubmatch(strings.Join(bodies, ""), -1) {
		versions[match[1]] = true
	}
	return versions
}

// maxTakeUpDelay is the longest time until a caller takes a broken stream up.
const maxTakeUpDelay = time.Second

// takeUp takes a resumable stream up that was broken off behind an event, at any instance, and
// checks that all its events are of one version.
func (c *caller) takeUp(broken response, k requestKind) {
	begun := strings.LastIndex(broken.body, "\n\n") + 2
	if k.tokens == "" || k.isUnsafe || broken.err == nil || broken.status != http.StatusOK || begun < 2 {
		return
	}
	<-time.After(time.Duration(c.rng.Int64N(int64(maxTakeUpDelay))))
	received := broken.body[:begun]
	req := c.s.newRequest(c.s.instances[c.rng.IntN(len(c.s.instances))], k)
	req.Header.Set("Resumes", broken.requestID)
	req.Header.Set("Last-Event-Id", fmt.Sprint(strings.Count(received, "\n\n")))
	conn, err := dialInstance(c.s.instanceOf(req))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	resp := conn.exchange(req, 0)
	resp.route = k.route
	c.s.recordFailure(resp)
	c.s.checkTakenUp(received, resp)
}

const (
	// takeUpRounds is the number of kills beside long streams, and takeUpCallers that of callers.
	takeUpRounds, takeUpCallers = 6, 24
	// takeUpPause is the time between two kills: streams begin, break and are taken up.
	takeUpPause = 900 * time.Millisecond
	// minGoneOn is the share of the streams taken up that must go on: half of that of new ones, by
	// the platform's rules.
	minGoneOn = 0.5
)

// runTakeUps kills instances and breaks streams off while callers take their streams up.
func (s *soakRun) runTakeUps(rng *rand.Rand) {
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range takeUpCallers {
		c := &caller{s: s, kinds: []requestKind{{route: "reel", isLong: true, tokens: "90,30"}}, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		callers.Go(func() { c.run(ctx, n) })
	}
	for range takeUpRounds {
		fault := cwstandin.FaultTruncateStream
		s.workers[rng.IntN(len(s.workers))].QueueFaults(fault, fault, fault)
		<-time.After(takeUpPause)
		p := s.instances[rng.IntN(len(s.instances))]
		p.stop(syscall.SIGKILL)
		p.start()
	}
	stop()
	callers.Wait()
	s.waitUntilServing()
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.goneOn) < minGoneOn*float64(s.takenUp) {
		s.t.Errorf("%d of %d streams taken up went on", s.goneOn, s.takenUp)
	}
}

// instanceOf returns the instance to which a request is addressed.
func (s *soakRun) instanceOf(req *http.Request) *gatewayProcess {
	for _, p := range s.instances {
		if strings.HasPrefix(req.URL.Host, p.ip+":") {
			return p
		}
	}
	return nil
}

// checkTakenUp checks the events over two attempts of a caller.
func (s *soakRun) checkTakenUp(received string, resp response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUp++
	if resp.status != http.StatusOK {
		return
	}
	if resp.err == nil {
		s.goneOn++
		resp.body = received + resp.body
		s.checkStream(resp)
		return
	}
	if versions := versionsOf(received, resp.body); len(versions) > 1 {
		s.t.Errorf("%s: stream taken up has events of versions %v", resp.requestID, versions)
	}
}
