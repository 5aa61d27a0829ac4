package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	upgradeWorkers = 4
	// heartbeat is the time after which a worker that has started again writes its entry: at the
	// next interval of `heartbeat-ms`.
	heartbeat = 1200 * time.Millisecond
	// upgradeDown is how long a worker is down that starts again under its identifier.
	upgradeDown    = 300 * time.Millisecond
	upgradeGap     = 600 * time.Millisecond
	upgradeEvents  = 30
	upgradePause   = 100 * time.Millisecond
	upgradeTime    = 90 * time.Second
	upgradeRounds  = 7
	upgradeRound   = 12 * time.Second
	upgradeRate    = 1
	upgradeMixMost = 2
)

// upgradeWorker is a worker that starts again under its identifier, with another software version.
type upgradeWorker struct {
	fleet   *fleet
	id      string
	address string

	mu      sync.Mutex
	version int
	running int
	server  *http.Server
}

// runUpgrade replaces the software of workers that start again under the same identifier, one after
// the other.
func runUpgrade(f *fleet) (bool, error) {
	engine := map[string]any{"slots": 64, "kv-capacity": 339156, "stride": 6}
	service := map[string]any{"name": brittleService, "health-path": "/health", "max-connections": 370, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine}
	route := cwstandin.NewPublishedRoute(host, brittleService, "assist", "streaming")
	route["timeout-ms"], route["target-latency-ms"], route["priority"], route["session-affinity"], route["resumable"] = 12000, 600, 0, true, true
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{service}, []any{route}))
	var workers []*upgradeWorker
	for n := range upgradeWorkers {
		w := &upgradeWorker{fleet: f, id: fmt.Sprintf("i-%02d", n), address: f.ip(101+n) + ":8080", version: 1}
		if err := w.start(); err != nil {
			return false, err
		}
		w.register()
		workers = append(workers, w)
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	var upgrades sync.WaitGroup
	if f.hasTrouble {
		upgrades.Go(func() {
			for range upgradeRounds {
				time.Sleep(upgradeRound - upgradeWorkers*upgradeGap)
				for _, w := range byLoad(workers) {
					go w.upgrade()
					time.Sleep(upgradeGap)
				}
			}
		})
	}
	mixed := f.sendUpgradeStreams()
	upgrades.Wait()
	f.record("streams with events of two software versions: %d; the rule allows %d", mixed, upgradeMixMost)
	return mixed > upgradeMixMost, nil
}

// byLoad returns the workers in the order of their running streams: an operator begins with idle ones.
func byLoad(workers []*upgradeWorker) []*upgradeWorker {
	sorted := append([]*upgradeWorker(nil), workers...)
	for i := range sorted {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].load() < sorted[i].load() {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted
}

func (w *upgradeWorker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *upgradeWorker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.version
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, version) })}
	w.server, w.running = server, 0
	w.fleet.mu.Lock()
	w.fleet.servers = append(w.fleet.servers, server)
	w.fleet.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// register writes the entry of the present life.
func (w *upgradeWorker) register() {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	entry := cwstandin.NewPublishedWorker(brittleService, zone, w.address)
	entry["slots"], entry["born"], entry["version"] = 64, time.Now().UnixMilli(), fmt.Sprintf("v%d", version)
	w.fleet.store.PutJSON(cwstandin.WorkerKeyPrefix+w.id, entry)
	w.fleet.record("worker %s: entry written, version v%d", w.id, version)
}

// upgrade ends the present life and begins one of another version. The entry follows at the next
// heartbeat.
func (w *upgradeWorker) upgrade() {
	w.mu.Lock()
	server := w.server
	w.version++
	running := w.running
	w.mu.Unlock()
	_ = server.Close()
	w.fleet.record("worker %s: ends with %d streams running", w.id, running)
	time.Sleep(upgradeDown)
	if err := w.start(); err != nil {
		w.fleet.record("worker %s: not started again: %v", w.id, err)
		return
	}
	w.fleet.record("worker %s: runs its next version", w.id)
	time.Sleep(heartbeat)
	w.register()
}

func (w *upgradeWorker) serve(rw http.ResponseWriter, r *http.Request, version int) {
	id, expected := r.Header.Get("Clementinewell-Request-Id"), r.Header.Get("Clementinewell-Expected-Instance")
	rw.Header().Set("Clementinewell-Request-Id", id)
	rw.Header().Set("Clementinewell-Instance-Id", w.id)
	if expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Clementinewell-Response-Signature", "3e1b."+id)
	rw.Header().Set("Clementinewell-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.fleet.record("worker %s: runs %s at version v%d after event %d", w.id, id, version, last)
	for n := last + 1; n <= upgradeEvents; n++ {
		select {
		case <-time.After(upgradePause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s v%d %d of %d\n\n", n, id, version, n, upgradeEvents)
		_ = http.NewResponseController(rw).Flush()
	}
}

// sendUpgradeStreams sends requests at a steady rate, with one shared part of their prompts, and
// returns how many streams have events of two versions.
func (f *fleet) sendUpgradeStreams() int {
	var clients []*client
	for range 12 {
		clients = append(clients, newClient(f))
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, whole, others := 0, 0, 0
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < upgradeTime; n++ {
		time.Sleep(time.Second / upgradeRate)
		wg.Go(func() {
			a := clients[n%len(clients)].do(&request{method: http.MethodPost, path: "/assist/" + strconv.Itoa(n), deadline: 12 * time.Second, header: map[string]string{
				"Clementinewell-Model": "m", "Clementinewell-Token-Count": "628,180", "Clementinewell-Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:430", 0x1000000+n),
			}})
			isMixed := strings.Contains(versionsIn(a.body), "+")
			f.record("request %s: status %d, %d events, versions %s, end: %v", a.id, a.status, bytes.Count(a.body, []byte("\n\n")), versionsIn(a.body), a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isMixed:
				mixed++
			case a.status == http.StatusOK && a.err == nil:
				whole++
			default:
				others++
			}
		})
	}
	wg.Wait()
	f.record("streams: %d of one version, %d of two versions; other answers: %d", whole, mixed, others)
	return mixed
}

// versionsIn returns the versions of the events in a body.
func versionsIn(body []byte) string {
	var versions []string
	for n := 1; n <= upgradeRounds+1; n++ {
		v := fmt.Sprintf("v%d", n)
		if bytes.Contains(body, []byte(" "+v+" ")) {
			versions = append(versions, v)
		}
	}
	return strings.Join(versions, "+")
}
