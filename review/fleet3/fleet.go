package main

import (
	"errors"
	"fmt"
	"io"
	"log"
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
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// graceBefore is grace-s in the settings of a gateway when it starts.
const graceBefore = 8 * time.Second

// Ports of a gateway and of the stand-ins. Each has a loopback address of its own.
const (
	frontPort   = "8001"
	readyPort   = "8002"
	controlPort = "8003"
	workerPort  = "8100"
	storePort   = "8200"
)

// fleet is a small deployment: a store, workers and gateways.
type fleet struct {
	dir, program string
	// prefix holds the first two numbers of all addresses.
	prefix   string
	store    *cwstandin.Store
	zones    map[string]string
	gateways []*gateway
	record   *recorder
	closers  []func()
	// mu guards the processes and servers while they are started and ended.
	mu       sync.Mutex
	isClosed bool
}

func newFleet(record *recorder, zones map[string]string) (*fleet, error) {
	program, err := filepath.Abs("target/clementinewell")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleet3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, store: cwstandin.NewStore(), zones: zones, record: record}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	active.Store(f)
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", f.ip(250)+":"+storePort); err == nil {
			_ = l.Close()
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func (f *fleet) ip(n int) string {
	return fmt.Sprintf("%s.%d", f.prefix, n)
}

// serve serves a handler until the fleet is closed, or until the function that it returns is called.
func (f *fleet) serve(address string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(l) }()
	stop := sync.OnceFunc(func() { _ = s.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, stop)
	return stop, nil
}

// active is the fleet that runs.
var active atomic.Pointer[fleet]

// closeActive ends the fleet that runs, if there is one.
func closeActive() {
	if f := active.Load(); f != nil {
		f.close()
	}
}

// close ends all processes and servers of the fleet.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isClosed = true
	for _, g := range f.gateways {
		g.kill()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	f.gateways, f.closers = nil, nil
}

// gateway is a process of the system.
type gateway struct {
	f                *fleet
	ip, zone, region string
	settings         string
	// grace is grace-s in the settings.
	grace time.Duration
	cmd   *exec.Cmd
	log   *os.File
}

// startGateway starts a gateway as the deploy file does. The store's address is that of its settings.
func (f *fleet) startGateway(n int, zone, storeAddress string, seeds []string) (*gateway, error) {
	g := &gateway{f: f, ip: f.ip(n), zone: zone, region: f.zones[zone], settings: filepath.Join(f.dir, fmt.Sprintf("node-%d.conf", n)), grace: graceBefore}
	if err := g.writeSettings(storeAddress, seeds); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("log-%d.txt", n)))
	if err != nil {
		return nil, err
	}
	g.log = out
	g.cmd = exec.Command(f.program, "serve")
	g.cmd.Env = append(os.Environ(), "CLEMENTINEWELL_SETTINGS="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return nil, errors.New("the fleet is closed")
	}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return g, nil
}

func (g *gateway) writeSettings(storeAddress string, seeds []string) error {
	var b strings.Builder
	for zone, region := range g.f.zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", zone, region)
	}
	text := fmt.Sprintf(`node-name=%[1]s
role=gateway
machine-class=front
serves=front,control,directory
ip=%[1]s
zone=%[2]s
region=%[3]s
listen.front=%[1]s:8001
listen.ready=%[1]s:8002
listen.control=%[1]s:8003
listen.directory=%[1]s:8004
port-range=8005,8020
seeds=%[4]s
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.max-fds=4100
limits.link-mbps=1000.0
heartbeat-ms=1200
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=6000
bounds.ack-ms=8000
bounds.catch-up-s=4
bounds.drain-ms=4000
bounds.grace-s=%[6]g
bounds.loss-slack-ms=200
bounds.config-apply-ms=4000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=10000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=56
bounds.cold-overage=1.5
bounds.cold-slack=3
bounds.evacuate-ms=5000
bounds.recovery-s=12
bounds.pass-ms=800
bounds.again-s=10
bounds.ttl_max_s=5
provider.address=%[5]s
provider.form=read
provider.reads-per-s=2000
provider.history-s=20
`, g.ip, g.zone, g.region, strings.Join(seeds, ","), storeAddress, g.grace.Seconds())
	next := g.settings + ".next"
	if err := os.WriteFile(next, []byte(b.String()+text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.settings)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	_ = g.log.Close()
}

// awaitReady waits until all gateways answer their ready check with status 200.
func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range f.gateways {
		for {
			resp, err := http.Get("http://" + g.ip + ":" + readyPort + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// worker is a stand-in for a worker of a plain service. It records what reaches it.
type worker struct {
	f                          *fleet
	id, service, zone, address string
	work                       time.Duration
	slots                      int
	// version is that of the software. A stream has events, one in each interval.
	version       string
	events        int
	eventInterval time.Duration
	// slowPath is the prefix of the paths of requests that take slowWork.
	slowPath string
	slowWork time.Duration
	// isQuiet is set if single runs are not recorded.
	isQuiet bool
	stop    func()
	// bornMillis is the Unix millisecond of its start, and coldUntil when it stops being cold.
	bornMillis int64
	coldUntil  time.Time

	mu   sync.Mutex
	runs []run
}

// run is a request that a worker ran.
type run struct {
	id string
	at time.Time
}

// startWorker starts a worker and writes its entry.
func (f *fleet) startWorker(n int, id, service, zone string, slots int) (*worker, error) {
	w := &worker{f: f, id: id, service: service, zone: zone, address: f.ip(n) + ":" + workerPort, work: 5 * time.Millisecond, slots: slots, bornMillis: time.Now().UnixMilli(), version: "v1", events: 3}
	stop, err := f.serve(w.address, w)
	if err != nil {
		return nil, err
	}
	w.stop = stop
	w.beat("ready", 1)
	return w, nil
}

// entry returns the worker's entry as it is now.
func (w *worker) entry(state string, sequence int) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"cold-remaining-ms": w.coldMillis(), "sequence": sequence, "born": w.bornMillis,
	}
}

// coldMillis returns for how many more milliseconds the worker is cold. The caller holds mu.
func (w *worker) coldMillis() int64 {
	return max(time.Until(w.coldUntil), 0).Milliseconds()
}

// beat writes the worker's entry.
func (w *worker) beat(state string, sequence int) {
	w.f.store.PutJSON(cwstandin.WorkerKeyPrefix+w.id, w.entry(state, sequence))
}

// restart starts a worker that has crashed again under its identifier, cold for a time.
func (w *worker) restart(cold time.Duration) error {
	stop, err := w.f.serve(w.address, w)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop, w.bornMillis, w.coldUntil = stop, time.Now().UnixMilli(), time.Now().Add(cold)
	return nil
}

// ServeHTTP answers as a sound worker does.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Clementinewell-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("Clementinewell-Instance-Id", w.id)
		rw.Header().Set("Clementinewell-Cold-Ms", strconv.FormatInt(w.coldMillis(), 10))
		return
	}
	id := r.Header.Get(cwstandin.RequestIDHeader)
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, at: time.Now()})
	w.mu.Unlock()
	if !w.isQuiet {
		w.f.record.add("run      %s worker=%s service=%s", id, w.id, w.service)
	}
	if w.slowPath != "" && strings.HasPrefix(r.URL.Path, w.slowPath) {
		time.Sleep(w.slowWork)
	} else {
		time.Sleep(w.work)
	}
	rw.Header().Set(cwstandin.RequestIDHeader, id)
	rw.Header().Set("Clementinewell-Response-Signature", "signed."+w.id+"."+id)
	if r.Header.Get("Clementinewell-Token-Count") == "" {
		_, _ = fmt.Fprintf(rw, "answer of %s to %s\n", w.id, id)
		return
	}
	w.stream(rw, r)
}

// stream sends numbered events, beginning after the last one that the client has, until the caller leaves.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s of %s\n\n", n, w.version, w.id)
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.eventInterval):
		}
	}
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// answer is what a client got.
type answer struct {
	id, gateway, body string
	status            int
	err               error
	sentAt, at        time.Time
}

var requestCount struct {
	sync.Mutex
	n int
}

func nextRequestID() string {
	requestCount.Lock()
	defer requestCount.Unlock()
	requestCount.n++
	return fmt.Sprintf("%08x%04x", rand.Uint32(), requestCount.n)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}

// sendPrompt sends one request for a stream, with a prompt of its own.
func (f *fleet) sendPrompt(g *gateway, host, path string, deadline time.Duration) answer {
	return f.sendWith(g, http.MethodPost, host, path, deadline, map[string]string{
		"Clementinewell-Model": "m", "Clementinewell-Token-Count": "1200,18",
		"Clementinewell-Prompt-Prefix": fmt.Sprintf("%x:800,%x:400", rand.Uint64(), rand.Uint64()),
	})
}

func (f *fleet) sendWith(g *gateway, method, host, path string, deadline time.Duration, fields map[string]string) answer {
	id := nextRequestID()
	a := answer{id: id, gateway: g.ip, sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+g.ip+":"+frontPort+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(cwstandin.RequestIDHeader, id)
	req.Header.Set(cwstandin.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	f.record.add("sent     %s to=%s %s %s %d bytes of parts", id, g.ip, method, path, len(fields["Clementinewell-Prompt-Prefix"]))
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, strings.TrimSpace(string(body))
	}
	a.err, a.at = err, time.Now()
	f.record.add("answered %s status=%d body=%q error=%v", id, a.status, a.body, err)
	return a
}
