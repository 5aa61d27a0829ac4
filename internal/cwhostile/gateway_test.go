// Package cwhostile_test plays clients outside the control of the operators against an instance
// that runs as a process of its own on loopback: heads of very many or odd lines, heads and empty
// lines without end, and bodies of the largest size. The process must live, stay within the memory
// and the descriptors of its settings, and answer an ordinary request afterwards.
package cwhostile_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	gatewayIP        = "127.0.41.1"
	storeAddress     = "127.0.42.1:8010"
	workerAddress    = "127.0.43.1:8010"
	callerAddress    = gatewayIP + ":8001"
	readyAddress     = gatewayIP + ":8002"
	directoryAddress = gatewayIP + ":8004"
	routeHost        = "app.example"

	// memoryMB and maxFiles are the limits in the settings of the instance, and the bounds that the
	// tests check. They are lower than those of any machine so that a small crowd meets them.
	memoryMB = 40
	maxFiles = 1500
	// maxCrowdFiles bounds the descriptors that are open beside a crowd of hostile clients.
	maxCrowdFiles = 500
	// shortHeaderTimeout is a time limit for a head with which those without an end are over soon.
	shortHeaderTimeout = time.Second
	// eventTimeout ends a wait for an event that does not come.
	eventTimeout = 30 * time.Second
)

// gateway is an instance in a process of its own, with its store and its worker.
type gateway struct {
	t       *testing.T
	cmd     *exec.Cmd
	logPath string
	// exited is closed when the process has ended.
	exited chan struct{}
	// held is the number of requests that the worker holds until the channel of the round is closed.
	held    atomic.Int64
	release atomic.Pointer[chan struct{}]
}

// buildProgram builds the program of this tree and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "clementinewell")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/clementinewell").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// startGateway starts an instance with a time limit for heads and waits until it is ready.
func startGateway(t *testing.T, program string, headerTimeout time.Duration) *gateway {
	dir := t.TempDir()
	g := &gateway{t: t, logPath: filepath.Join(dir, "log"), exited: make(chan struct{})}
	g.startStandIns()
	settings := filepath.Join(dir, "node.conf")
	if err := os.WriteFile(settings, []byte(formatSettings()), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(g.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command(program, "serve")
	g.cmd.Env = append(os.Environ(), "CLEMENTINEWELL_SETTINGS="+settings, "CLEMENTINEWELL_HEADER_TIMEOUT="+headerTimeout.String())
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.cmd.Wait(); close(g.exited) }()
	t.Cleanup(g.stop)
	g.await("the instance is ready", g.isReady)
	return g
}

// stop ends the process by its identifier.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
	if g.t.Failed() {
		log, err := os.ReadFile(g.logPath)
		g.t.Logf("end of the log (%v):\n%s", err, log[max(len(log)-4000, 0):])
	}
}

// startStandIns starts the store and a worker, and publishes a configuration with the limits of
// the platform's pages.
func (g *gateway) startStandIns() {
	store := cwstandin.NewStore()
	startServer(g.t, storeAddress, store.Handler())
	worker := cwstandin.NewWorker("worker")
	startServer(g.t, workerAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hostile/") {
			g.hold(r)
		}
		worker.ServeHTTP(w, r)
	}))
	entry := cwstandin.NewPublishedWorker("app", "north-a", workerAddress)
	entry["slots"] = 2 * crowdSize
	store.PutJSON(cwstandin.WorkerKeyPrefix+worker.ID, entry)
	config := cwstandin.NewPublishedConfig(1, []map[string]any{{"name": "app", "max-connections": 2 * crowdSize}}, []map[string]any{
		cwstandin.NewPublishedRoute(routeHost, "app", "hostile", "unsafe"),
		cwstandin.NewPublishedRoute(routeHost, "app", "ordinary", "safe"),
	})
	config["limits"] = map[string]any{
		"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": shortHeaderTimeout.Milliseconds(), "idle-timeout-ms": 15000,
	}
	store.PutJSON(cwstandin.ConfigKey, config)
}

// hold keeps a request at the worker until the round is over or the instance gives up.
func (g *gateway) hold(r *http.Request) {
	g.held.Add(1)
	defer g.held.Add(-1)
	select {
	case <-*g.release.Load():
	case <-r.Context().Done():
	}
}

func startServer(t *testing.T, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close(); <-failed })
}

func formatSettings() string {
	return fmt.Sprintf(`node-name=%[1]s
ip=%[1]s
zone=north-a
region=north
zones.north-a=north
listen.front=%[2]s
listen.ready=%[3]s
listen.control=%[1]s:8003
listen.directory=%[4]s
port-range=8005,8009
limits.cpu-share=1
limits.cores=1
limits.memory-mb=%[5]d
limits.max-fds=%[6]d
bounds.grace-s=4
bounds.drain-ms=4000
bounds.retry-ratio=0.2
bounds.retry-slack=50
bounds.budget-window-s=10
bounds.cold-overage=1.5
bounds.cold-slack=3
bounds.ttl_max_s=5
provider.address=%[7]s
`, gatewayIP, callerAddress, readyAddress, directoryAddress, memoryMB, maxFiles, storeAddress)
}

// await polls until isMet returns true, and fails the test if the process ends before.
func (g *gateway) await(what string, isMet func() bool) {
	g.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	deadline := time.After(eventTimeout)
	for !isMet() {
		select {
		case <-g.exited:
			g.t.Fatalf("the process ended before %s: %s", what, g.cmd.ProcessState)
		case <-deadline:
			g.t.Fatalf("not met in time: %s", what)
		case <-tick.C:
		}
	}
}

func (g *gateway) isReady() bool {
	resp, err := http.Get("http://" + readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// isServing reports whether an ordinary request is answered with status 200.
func (g *gateway) isServing() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+callerAddress+"/ordinary/x", strings.NewReader("ordinary"))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Host = routeHost
	req.Header.Set(cwstandin.RequestIDHeader, "ordinary")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// peakMemoryMB returns the largest resident memory that the process has had.
func (g *gateway) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		g.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				g.t.Fatal(err)
			}
			return kB >> 10
		}
	}
	g.t.Fatal("no peak of the memory; the process has ended")
	return 0
}

// openFiles returns the number of open descriptors of the process.
func (g *gateway) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		g.t.Fatal(err)
	}
	return len(entries)
}
