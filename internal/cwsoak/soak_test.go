// Package cwsoak_test runs the gateway as separate processes on loopback, spoils
// connections, signals processes and changes what is published, all at random, and
// checks from the outside what callers were promised.
package cwsoak_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

var (
	firstSeed   = flag.Uint64("soak.seed", 1, "first seed")
	seedCount   = flag.Int("soak.seeds", 1, "number of seeds")
	faultPeriod = flag.Duration("soak.lasts", 5*time.Second, "how long faults go on in each run")
)

const (
	storeAddress = "127.0.21.1:8010"
	workerPort   = "8010"
	routeHost    = "app.example"
	// recoveryTimeout is the time within which all instances serve again after the last
	// fault: the time to recover that the platform gives.
	recoveryTimeout = 12 * time.Second
	// callerInterval lies between two requests of one caller.
	callerInterval = 15 * time.Millisecond
	callerCount    = 12
)

// regressionSeeds are seeds that once failed.
var regressionSeeds = []uint64{
	141, // the stand-in answered a stream with a plain body after a foreign answer
}

// TestSoak plays one run for each seed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "clementinewell")
	build := exec.Command("go", "build", "-o", program, "../../cmd/clementinewell")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := append([]uint64(nil), regressionSeeds...)
	for n := range *seedCount {
		list = append(list, *firstSeed+uint64(n))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoakRun(t, program, seed).run() })
	}
}

// soakRun is one run.
type soakRun struct {
	t             *testing.T
	rng           *rand.Rand
	store         *cwstandin.Store
	storeProxy    *proxy
	workers       []*cwstandin.Worker
	workerProxies []*proxy
	instances     []*gatewayProcess
	configVersion int
	requests      atomic.Int64
	succeeded     atomic.Int64

	mu         sync.Mutex
	refusedIDs map[string]bool
	unsafeIDs  map[string]bool
}

func newSoakRun(t *testing.T, program string, seed uint64) *soakRun {
	s := &soakRun{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: cwstandin.NewStore(),
		refusedIDs: make(map[string]bool), unsafeIDs: make(map[string]bool),
	}
	s.storeProxy = newProxy(t, storeAddress, startServer(t, s.store.Handler()))
	for n, domain := range []string{"north-a", "north-a", "south-a", "south-a"} {
		w := cwstandin.NewWorker(fmt.Sprint("worker-", n))
		ip := fmt.Sprintf("127.0.22.%d", n+1)
		s.workers = append(s.workers, w)
		s.workerProxies = append(s.workerProxies, newProxy(t, ip+":"+workerPort, startServer(t, w)))
		s.registerWorker(n, domain)
	}
	s.publishConfig()
	seedAddresses := []string{"127.0.23.1:8003", "127.0.23.3:8003"}
	for n, domain := range []string{"north-a", "north-a", "south-a", "south-a"} {
		s.instances = append(s.instances, newGatewayProcess(t, program, fmt.Sprintf("127.0.23.%d", n+1), domain, seedAddresses))
	}
	return s
}

func startServer(t *testing.T, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (s *soakRun) registerWorker(n int, domain string) {
	s.store.PutJSON("servers/"+s.workers[n].ID, map[string]any{
		"service": "app", "address": fmt.Sprintf("127.0.22.%d:%s", n+1, workerPort), "zone": domain,
		"slots": 32, "state": "ready", "cold-remaining-ms": 0, "sequence": s.configVersion, "born": 1,
	})
}

// publishConfig writes the next configuration: the fixed routes and one named after it.
func (s *soakRun) publishConfig() {
	s.configVersion++
	var routes []map[string]any
	for _, r := range []struct{ name, kind string }{{"safe", "safe"}, {"once", "unsafe"}, {"flow", "streaming"}, {fmt.Sprint("v", s.configVersion), "safe"}} {
		routes = append(routes, map[string]any{
			"name": r.name, "host": routeHost, "path-prefix": "/" + r.name + "/", "type": r.kind, "timeout-ms": 4000,
			"target-latency-ms": 500, "service": "app", "max-attempts": 2, "gap-aim-ms": 300, "resumable": r.kind == "streaming",
		})
	}
	s.store.PutJSON("op/config", map[string]any{
		"version": s.configVersion, "routes": routes,
		"services": []map[string]any{{"name": "app", "max-connections": 400, "engine": map[string]any{"slots": 64, "kv-capacity": 1000000, "stride": 6}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

func (s *soakRun) run() {
	s.waitUntilServing()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range callerCount {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
		wg.Go(func() { s.runCaller(ctx, rng, n) })
	}
	for end := time.Now().Add(*faultPeriod); time.Now().Before(end); {
		s.injectFault()
		<-time.After(time.Duration(50+s.rng.IntN(300)) * time.Millisecond)
	}
	s.clearFaults()
	s.waitUntilServing()
	stop()
	wg.Wait()
	s.checkRuns()
	if s.t.Failed() {
		for _, p := range s.instances {
			log, err := os.ReadFile(p.logPath)
			s.t.Logf("log of %s (%v):\n%s", p.ip, err, log)
		}
	}
	s.t.Logf("%d requests, %d answered with success", s.requests.Load(), s.succeeded.Load())
}

// injectFault begins one fault, or ends another; faults overlap.
func (s *soakRun) injectFault() {
	way := s.workerProxies[s.rng.IntN(len(s.workerProxies))]
	p := s.instances[s.rng.IntN(len(s.instances))]
	switch s.rng.IntN(9) {
	case 0, 1:
		way.setMode(proxyMode(s.rng.IntN(5)))
	case 2:
		s.storeProxy.setMode(proxyMode(s.rng.IntN(5)))
	case 3:
		way.setMode(modePass)
		s.storeProxy.setMode(modePass)
	case 4:
		p.stop(syscall.SIGKILL)
		p.start()
	case 5:
		if took := p.stop(syscall.SIGTERM); took > 4*time.Second {
			s.t.Errorf("an instance took %v to stop, its grace is 4 s", took)
		}
		p.start()
	case 6:
		p.pause(time.Duration(200+s.rng.IntN(1800)) * time.Millisecond)
	case 7:
		p.signal(syscall.SIGHUP)
		s.publishConfig()
	case 8:
		fault := cwstandin.WorkerFault(1 + s.rng.IntN(int(cwstandin.FaultTruncateStream)))
		s.workers[s.rng.IntN(len(s.workers))].QueueFaults(fault, fault, fault)
	}
}

func (s *soakRun) clearFaults() {
	for _, way := range s.workerProxies {
		way.setMode(modePass)
	}
	s.storeProxy.setMode(modePass)
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
	}
	s.publishConfig()
}

// waitUntilServing waits until every instance serves the newest route.
func (s *soakRun) waitUntilServing() {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	start := time.Now()
	for _, p := range s.instances {
		for {
			a := s.sendRequest(context.Background(), client, p, fmt.Sprintf("/v%d/x", s.configVersion), "")
			if a.status == http.StatusOK {
				break
			}
			if time.Since(start) > recoveryTimeout {
				s.t.Errorf("%s does not serve the newest route %v after the last fault: status %d, %v", p.ip, recoveryTimeout, a.status, a.err)
				return
			}
			<-time.After(50 * time.Millisecond)
		}
	}
}

type response struct {
	requestID string
	status    int
	header    http.Header
	body      string
	err       error
}

func (s *soakRun) sendRequest(ctx context.Context, client *http.Client, p *gatewayProcess, path, tokens string) response {
	a := response{requestID: fmt.Sprint("r", s.requests.Add(1))}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.ip+":8001"+path, strings.NewReader("body of "+a.requestID))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = routeHost
	// The caller repeats nothing by itself: each identifier is one attempt.
	req.GetBody = nil
	req.Header.Set("Clementinewell-Request-Id", a.requestID)
	req.Header.Set("Clementinewell-Deadline-Ms", "4000")
	if tokens != "" {
		req.Header.Set("Clementinewell-Token-Count", tokens)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(body), err
	return a
}

// runCaller sends requests of all kinds over kept connections, as callers do until the
// process is gone.
func (s *soakRun) runCaller(ctx context.Context, rng *rand.Rand, n int) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		p := s.instances[(n+rng.IntN(2))%len(s.instances)]
		switch rng.IntN(3) {
		case 0:
			s.checkResponse(s.sendRequest(ctx, client, p, "/safe/x", ""), false)
		case 1:
			s.checkResponse(s.sendRequest(ctx, client, p, "/once/x", ""), true)
		case 2:
			s.checkStream(s.sendRequest(ctx, client, p, "/flow/x", "90,30"))
		}
		<-time.After(callerInterval)
	}
}

// checkResponse checks one answer.
func (s *soakRun) checkResponse(a response, once bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if once {
		s.unsafeIDs[a.requestID] = true
	}
	switch {
	case a.err != nil:
	case a.status == http.StatusOK:
		s.succeeded.Add(1)
		if !strings.HasSuffix(a.body, " to "+a.requestID) || a.header.Get("Clementinewell-Response-Signature") == "" {
			s.t.Errorf("%s got a success that is not the whole answer to it: %q", a.requestID, a.body)
		}
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		s.refusedIDs[a.requestID] = true
	case a.status == http.StatusNotFound:
		s.t.Errorf("%s got 404 on a route that was always there", a.requestID)
	}
}

// checkStream checks that a stream that looks complete has each event once.
func (s *soakRun) checkStream(a response) {
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	s.succeeded.Add(1)
	want := ""
	for n := 1; n <= 6; n++ {
		want += "id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n"
	}
	if a.body != want {
		s.t.Errorf("%s got a stream that looks complete and isn't: %q", a.requestID, a.body)
	}
}

// checkRuns compares what callers were told with what ran.
func (s *soakRun) checkRuns() {
	runs := make(map[string]int)
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			runs[run.RequestID]++
			if run.Body != "body of "+run.RequestID {
				s.t.Errorf("%s ran with another body: %q", run.RequestID, run.Body)
			}
		}
	}
	for id := range s.unsafeIDs {
		if runs[id] > 1 {
			s.t.Errorf("%s must not run twice and ran %d times", id, runs[id])
		}
		if s.refusedIDs[id] && runs[id] > 0 {
			s.t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	if s.succeeded.Load() == 0 {
		s.t.Error("no request was answered")
	}
}
