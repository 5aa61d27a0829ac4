// Package cwsoak_test runs gateway instances as separate processes on loopback and
// injects random faults: it disturbs connections, signals processes, publishes new
// configurations and makes workers respond wrongly. It checks the guarantees to callers
// from outside.
package cwsoak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
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
	firstSeed   = flag.Uint64("soak.seed", 1, "first seed to run")
	seedCount   = flag.Int("soak.seeds", 1, "number of seeds to run")
	network     = flag.Int("soak.network", 0, "second number of the loopback addresses, so that several soaks can run at once")
	playsKept   = flag.Bool("soak.kept", false, "also run the seeds that have failed before and are not part of the short run")
	previous    = flag.String("soak.previous", "", "commit of this repository whose program runs beside the present one: each restart of an instance changes between the two")
	faultPeriod = flag.Duration("soak.lasts", 5*time.Second, "duration of the fault injection in each run")
)

const (
	workerPort = "8010"
	routeHost  = "app.example"
	// recoveryTimeout is the time within which all instances must serve again after
	// the last fault. It is the recovery time that the platform allows.
	recoveryTimeout = 12 * time.Second
	// callerInterval is the pause between two requests of one caller.
	callerInterval = 15 * time.Millisecond
	callerCount    = 12
	// slowCallerCount is so high that at each SIGTERM some connections are open without a
	// request when the instance stops to accept.
	slowCallerCount = 24
)

// regressionSeeds are seeds whose runs have failed before, with the fault.
var regressionSeeds = []uint64{
	141, // the fake worker answered a streaming request with a plain body after sending another request's response
	5,   // after SIGTERM, net/http's Server.Shutdown dropped requests that it read on connections accepted before
}

// keptSeeds are further seeds whose runs have failed before, with the fault. The short run in
// CI leaves them out; -soak.kept plays them.
var keptSeeds = []uint64{
	20002,      // all workers silent: callers were refused until seconds after they were back
	20004,      // each request to a service panicked after a configuration had given it an engine
	1333, 1357, // after a stall near the end of a grace, connections were closed before their requests were ended
	95002, // the stand-in worker took a request for its report for one to run
	97100, // a relayed stream with nothing left to send had a length, so its end marker reached the caller
	20008, // a stream went on at another worker after a part of an endless event was passed on
}

// TestSoak executes one run for each seed. It guards against faults in the network,
// the store, workers and instances that break a guarantee to callers: a success
// carries the whole response to its own request, an unsafe request runs at most
// once, a refused one not at all, an instance drops no request that it has read because
// of planned work, workers get no more than the rate limits that they name and none once they are leaving or in a pause, requests that
// end workers are kept from them while sound ones are served, keys and quotas of accounts bind over
// all instances, and all instances recover in time.
func TestSoak(t *testing.T) {
	programs := buildPrograms(t, *previous)
	runSeeds := slices.Clone(regressionSeeds)
	if *playsKept {
		runSeeds = append(runSeeds, keptSeeds...)
	}
	for n := range *seedCount {
		runSeeds = append(runSeeds, *firstSeed+uint64(n))
	}
	for _, seed := range runSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoakRun(t, programs, seed).run() })
	}
}

// soakRun is the state of one run.
type soakRun struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	store *cwstandin.Store
	// storeProxies are those between each instance and the store.
	storeProxies  []*proxy
	workers       []*cwstandin.Worker
	observers     []*workerObserver
	workerProxies []*proxy
	instances     []*gatewayProcess
	configVersion atomic.Int64
	// auxWorkers and auxProxies are those of the service "aux". No unplanned fault affects
	// them.
	auxWorkers []*cwstandin.Worker
	auxProxies []*proxy
	requests   atomic.Int64
	succeeded  atomic.Int64

	mu sync.Mutex
	// variant is the configuration in force, or about to be.
	variant    configVariant
	refusedIDs map[string]bool
	unsafeIDs  map[string]bool
	// cuts are the requests whose connection ended without a complete response.
	cuts []response
	// unserved are the requests that got no success, and silences those of all workers.
	unserved []response
	// takenUp is the number of streams that callers took up, and goneOn that of those that were
	// then complete.
	takenUp, goneOn int
	silences        []silence
	// sentKeys are the keys that were sent, by request, and keys those of the account whose keys
	// change. keyUses are the requests with one of these, and storeFaults the times in which the
	// store was silent for all while keys changed.
	sentKeys    map[string]string
	keys        []keyLife
	keyUses     []response
	storeFaults []span
	// quotaUses are the requests of the accounts with quotas.
	quotaUses []response
	// lateOutcomes counts the requests late in a grace by what they got.
	lateOutcomes map[string]int
}

func newSoakRun(t *testing.T, programs []string, seed uint64) *soakRun {
	s := &soakRun{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), store: cwstandin.NewStore(),
		refusedIDs: make(map[string]bool), unsafeIDs: make(map[string]bool), sentKeys: make(map[string]string), lateOutcomes: make(map[string]int),
		keys: []keyLife{{key: "secret-changing-0"}, {key: "secret-changing-1"}},
	}
	for n, domain := range []string{"north-a", "north-a", "south-a", "south-a"} {
		w, p := s.startWorker(n, domain)
		s.workers, s.workerProxies = append(s.workers, w), append(s.workerProxies, p)
	}
	for n, domain := range []string{"north-a", "south-a"} {
		w, p := s.startWorker(len(s.workers)+n, domain)
		s.auxWorkers, s.auxProxies = append(s.auxWorkers, w), append(s.auxProxies, p)
	}
	s.registerWorkers()
	s.publishConfig()
	seedAddresses := []string{loopbackIP(23, 1) + ":8003", loopbackIP(23, 3) + ":8003"}
	storeServer := startServer(t, s.store.Handler())
	for n, domain := range []string{"north-a", "north-a", "south-a", "south-a"} {
		p := newProxy(t, loopbackIP(21, n+1)+":8010", storeServer)
		s.storeProxies = append(s.storeProxies, p)
		s.instances = append(s.instances, newGatewayProcess(t, programs, loopbackIP(23, n+1), domain, p.listenAddress, seedAddresses))
	}
	return s
}

// loopbackIP returns a loopback address by its last two numbers.
func loopbackIP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", *network, third, fourth)
}

// setStoreMode sets how all instances reach the store.
func (s *soakRun) setStoreMode(mode proxyMode) {
	for _, p := range s.storeProxies {
		p.setMode(mode)
	}
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

// startWorker starts the nth worker and its proxy.
func (s *soakRun) startWorker(n int, domain string) (*cwstandin.Worker, *proxy) {
	w := cwstandin.NewWorker(fmt.Sprint("worker-", n))
	w.SetVersion(workerVersion(n))
	o := &workerObserver{worker: w, domain: domain, born: 1, work: make(map[string]work)}
	s.observers = append(s.observers, o)
	p := newProxy(s.t, loopbackIP(22, n+1)+":"+workerPort, startServer(s.t, o))
	o.setProxy(p)
	return w, p
}

func (s *soakRun) run() {
	s.waitUntilServing()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range callerCount {
		c := &caller{s: s, kinds: shortKinds, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1))}
		wg.Go(func() { c.run(ctx, n) })
	}
	for n := range slowCallerCount {
		c := &caller{s: s, kinds: shortKinds, rng: rand.New(rand.NewPCG(s.seed, uint64(100+n))), isSlow: true}
		wg.Go(func() { c.run(ctx, n) })
	}
	for n, p := range s.instances {
		c := &caller{s: s, rng: rand.New(rand.NewPCG(s.seed, uint64(200+n))), conns: make(map[*gatewayProcess][]*callerConn)}
		wg.Go(func() { c.runWithKeys(ctx, p) })
	}
	jumpRNG := rand.New(rand.NewPCG(s.seed, 16))
	wg.Go(func() { s.runJumps(ctx, jumpRNG) })
	if !slices.Contains(regressionSeeds, s.seed) {
		s.runLateInGrace(rand.New(rand.NewPCG(s.seed, 21)))
		s.runLargeBodies(rand.New(rand.NewPCG(s.seed, 22)))
		s.runCalm(rand.New(rand.NewPCG(s.seed, 17)))
		s.runUndelimitedEnds(rand.New(rand.NewPCG(s.seed, 20)))
	}
	s.runPlannedWork(rand.New(rand.NewPCG(s.seed, 8)))
	s.runSilence(rand.New(rand.NewPCG(s.seed, 11)))
	s.runEndlessBytes(rand.New(rand.NewPCG(s.seed, 12)))
	s.runRateLimits(rand.New(rand.NewPCG(s.seed, 9)))
	endKeyChanges := s.startKeyChanges(rand.New(rand.NewPCG(s.seed, 18)))
	s.runAnnouncements(rand.New(rand.NewPCG(s.seed, 15)))
	endKeyChanges()
	s.runCrashingRequests(rand.New(rand.NewPCG(s.seed, 13)))
	s.runTakeUps(rand.New(rand.NewPCG(s.seed, 14)))
	restoreRNG := rand.New(rand.NewPCG(s.seed, 10))
	for end := time.Now().Add(*faultPeriod); time.Now().Before(end); {
		if restoreRNG.IntN(12) == 0 {
			s.restoreStore(restoreRNG)
		}
		s.injectFault()
		for _, w := range s.workers {
			w.QueueFaults(cwstandin.FaultExtraRefusal)
		}
		<-time.After(time.Duration(50+s.rng.IntN(300)) * time.Millisecond)
	}
	s.clearFaults()
	s.waitUntilServing()
	stop()
	wg.Wait()
	s.checkRuns()
	s.checkCuts()
	s.checkSilences()
	s.checkAccounts()
	s.checkQuota()
	if s.t.Failed() {
		for _, p := range s.instances {
			log, err := os.ReadFile(p.logPath)
			s.t.Logf("log of %s (%v):\n%s", p.ip, err, log)
		}
	}
	s.t.Logf("requests late in a grace: %v", s.lateOutcomes)
	s.t.Logf("%d requests, %d succeeded; %d streams taken up, %d gone on", s.requests.Load(), s.succeeded.Load(), s.takenUp, s.goneOn)
}

// injectFault injects a random fault or clears proxy faults. Faults can overlap.
func (s *soakRun) injectFault() {
	workerProxy := s.workerProxies[s.rng.IntN(len(s.workerProxies))]
	p := s.instances[s.rng.IntN(len(s.instances))]
	switch s.rng.IntN(9) {
	case 0, 1:
		workerProxy.setMode(proxyMode(s.rng.IntN(5)))
	case 2:
		s.setStoreMode(proxyMode(s.rng.IntN(5)))
	case 3:
		workerProxy.setMode(modePass)
		s.setStoreMode(modePass)
	case 4:
		p.stop(syscall.SIGKILL)
		p.start()
	case 5:
		s.restart(p)
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
	for _, workerProxy := range s.workerProxies {
		workerProxy.setMode(modePass)
	}
	s.setStoreMode(modePass)
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
	}
	s.publishConfig()
}

// waitUntilServing waits until every instance serves the route of the newest
// configuration.
func (s *soakRun) waitUntilServing() {
	start := time.Now()
	for _, p := range s.instances {
		for {
			conn, err := dialInstance(p)
			resp := response{err: err}
			if err == nil {
				resp = conn.exchange(s.newRequest(p, requestKind{route: fmt.Sprint("v", s.configVersion.Load())}), 0)
				s.recordFailure(resp)
				_ = conn.Close()
			}
			if resp.status == http.StatusOK {
				break
			}
			if time.Since(start) > recoveryTimeout {
				s.t.Errorf("%s does not serve the newest route within %v after the start or the last fault: status %d, error %v", p.ip, recoveryTimeout, resp.status, resp.err)
				return
			}
			<-time.After(50 * time.Millisecond)
		}
	}
}

// checkResponse checks the response to a request and records the requests that checkRuns
// needs.
func (s *soakRun) checkResponse(resp response, k requestKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.isUnsafe {
		s.unsafeIDs[resp.requestID] = true
	}
	switch {
	case resp.err != nil:
	case resp.status == http.StatusOK && k.tokens != "":
		s.succeeded.Add(1)
		s.checkStream(resp)
	case resp.status == http.StatusOK:
		s.succeeded.Add(1)
		if !strings.HasSuffix(resp.body, " to "+resp.requestID) || resp.header.Get("Clementinewell-Response-Signature") == "" {
			s.t.Errorf("%s: got a success without the whole response to this request: %q", resp.requestID, resp.body)
		}
	case slices.Contains(refusalStatuses, resp.status):
		s.refusedIDs[resp.requestID] = true
	case resp.status == http.StatusUnauthorized && k.key == "":
		s.t.Errorf("%s: got 401 with a key that every configuration has", resp.requestID)
	case resp.status == http.StatusNotFound && k.route != "gone":
		s.t.Errorf("%s: got 404 on a route that every configuration has", resp.requestID)
	}
}

// refusalStatuses promise that the request has not run.
var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkStream checks that a stream that ends without an error has each event once.
func (s *soakRun) checkStream(resp response) {
	want := ""
	for n := 1; n <= 6; n++ {
		want += "id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n"
	}
	if versions := versionsOf(resp.body); len(versions) > 1 {
		s.t.Errorf("%s: stream has events of versions %v", resp.requestID, versions)
	}
	if versionLine.ReplaceAllString(resp.body, "") != want {
		s.t.Errorf("%s: stream ended without an error but is not complete: %q", resp.requestID, resp.body)
	}
}

// checkRuns compares the responses that callers got with the requests that workers ran.
func (s *soakRun) checkRuns() {
	runs := make(map[string]int)
	for _, w := range slices.Concat(s.workers, s.auxWorkers) {
		for _, run := range w.Runs() {
			runs[run.RequestID]++
			if slices.Contains(s.auxWorkers, w) && !strings.HasPrefix(run.Path, "/move/") && !strings.HasPrefix(run.Path, "/"+quotaRoute+"/") {
				s.t.Errorf("%s: %s of another service ran it: %s", run.RequestID, w.ID, run.Path)
			}
			if run.Body != "body of "+run.RequestID && run.Body != crashingBody {
				s.t.Errorf("%s: ran with the wrong body: %q", run.RequestID, run.Body)
			}
		}
	}
	for id := range s.unsafeIDs {
		if runs[id] > 1 {
			s.t.Errorf("%s: unsafe request ran %d times, want at most once", id, runs[id])
		}
		if s.refusedIDs[id] && runs[id] > 0 {
			s.t.Errorf("%s: request was refused as not run, but ran", id)
		}
	}
	if s.succeeded.Load() == 0 {
		s.t.Error("no request succeeded")
	}
}
