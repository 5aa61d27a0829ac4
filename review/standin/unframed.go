package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	unframedWorkers = 3
	unframedEvents  = 20
	unframedPause   = 100 * time.Millisecond
	// unframedRate is the number of requests per second.
	unframedRate = 24
	unframedTime = 24 * time.Second
	// crashTime is how long a worker is down that has crashed.
	crashTime = 5 * time.Second
)

// workerProcess is a worker that runs as a separate process.
type workerProcess struct {
	fleet   *fleet
	n       int
	address string

	mu     sync.Mutex
	id     string
	starts int
	cmd    *exec.Cmd
}

// start starts the process under a new identifier and writes its entry.
func (w *workerProcess) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.id = fmt.Sprintf("i-%02d-%03d", w.n, w.starts)
	cmd := exec.Command(os.Args[0], "worker", w.address, w.id)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.cmd = cmd
	time.Sleep(200 * time.Millisecond)
	entry := cwstandin.NewPublishedWorker(brittleService, zone, w.address)
	entry["slots"], entry["born"] = 64, time.Now().UnixMilli()
	w.fleet.store.PutJSON(cwstandin.WorkerKeyPrefix+w.id, entry)
	w.fleet.record("worker %s: started, pid %d", w.id, cmd.Process.Pid)
	return nil
}

// kill ends the process as a crash does. Its entry lapses.
func (w *workerProcess) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.id
	_ = w.cmd.Process.Kill()
	_ = w.cmd.Wait()
	w.fleet.record("worker %s: killed", id)
	time.AfterFunc(entryLifetime, func() { w.fleet.store.Remove(cwstandin.WorkerKeyPrefix + id) })
}

// runUnframed kills workers while they send streams that have neither a length nor chunks.
func runUnframed(f *fleet) (bool, error) {
	engine := map[string]any{"slots": 64, "kv-capacity": 339156, "stride": 6}
	service := map[string]any{"name": brittleService, "health-path": "/health", "max-connections": 370, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine}
	route := cwstandin.NewPublishedRoute(host, brittleService, "assist", "streaming")
	route["timeout-ms"], route["target-latency-ms"], route["priority"], route["session-affinity"], route["resumable"] = 12000, 600, 0, true, true
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{service}, []any{route}))
	var workers []*workerProcess
	for n := range unframedWorkers {
		w := &workerProcess{fleet: f, n: n, address: f.ip(101+n) + ":8080"}
		if err := w.start(); err != nil {
			return false, err
		}
		defer w.kill()
		workers = append(workers, w)
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	var crashes sync.WaitGroup
	if f.hasTrouble {
		crashes.Go(func() {
			time.Sleep(5 * time.Second)
			workers[0].kill()
			time.Sleep(crashTime)
			if err := workers[0].start(); err != nil {
				f.record("worker 0: not started again: %v", err)
			}
		})
	}
	truncated := f.sendStreams()
	crashes.Wait()
	f.record("streams that ended as complete before their last event: %d; the rule allows 0", truncated)
	return truncated > 0, nil
}

// sendStreams sends requests at a steady rate, and returns how many streams ended as complete without
// all events.
func (f *fleet) sendStreams() int {
	var clients []*client
	for range 12 {
		clients = append(clients, newClient(f))
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	truncated, whole, brokenOff, others := 0, 0, 0, 0
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < unframedTime; n++ {
		time.Sleep(time.Second / unframedRate)
		wg.Go(func() {
			a := clients[n%len(clients)].do(&request{method: http.MethodPost, path: "/assist/" + strconv.Itoa(n), deadline: 12 * time.Second, header: map[string]string{
				"Clementinewell-Model": "m", "Clementinewell-Token-Count": "628,120", "Clementinewell-Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:430", 0x1000000+n),
			}})
			events := bytes.Count(a.body, []byte("\n\n"))
			f.record("request %s at gateway %d: status %d, %d of %d events, end: %v", a.id, a.gateway.index, a.status, events, unframedEvents, a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != http.StatusOK:
				others++
			case a.err != nil:
				brokenOff++
			case events < unframedEvents:
				truncated++
			default:
				whole++
			}
		})
	}
	wg.Wait()
	f.record("streams: %d whole, %d broken off, %d truncated but ended as complete; other answers: %d", whole, brokenOff, truncated, others)
	return truncated
}

// serveWorker runs a worker whose streams have neither a length nor chunks and end with their
// connection. The arguments are its address and identifier.
func serveWorker(args []string) {
	s := &http.Server{Addr: args[0], Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id, expected := r.Header.Get("Clementinewell-Request-Id"), r.Header.Get("Clementinewell-Expected-Instance")
		if expected != "" && expected != args[1] {
			rw.Header().Set("Clementinewell-Request-Id", id)
			rw.Header().Set("Clementinewell-Instance-Id", args[1])
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		sendUnframed(rw, id, r.Header.Get("Last-Event-Id"))
	})}
	fmt.Fprintln(os.Stderr, "worker:", s.ListenAndServe())
}

// sendUnframed sends the events of a stream after the last one that the caller has.
func sendUnframed(rw http.ResponseWriter, id, lastEventID string) {
	last, _ := strconv.Atoi(lastEventID)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: 3e1b.%s\r\nClementinewell-Weight-Versions: 1\r\nConnection: close\r\n\r\n", id, id)
	for n := last + 1; n <= unframedEvents && err == nil; n++ {
		time.Sleep(unframedPause)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s %d of %d\n\n", n, id, n, unframedEvents)
	}
}
