package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	bookingService = "dispatch-app"
	bookingWorkers = 3
	// faultyWorkers of bookingWorkers send additional bytes after a share of their answers.
	faultyWorkers = 2
	extraShare    = 0.03
	extraTime     = 30 * time.Second
	// extraWork is the time that a request takes, within the 450 ms of the site file: more than one
	// worker is in use then.
	extraWork = 300 * time.Millisecond
	// extraInterval is the time between two requests: 28 a second, as on the sheet.
	extraInterval = 35 * time.Millisecond
	// refusal is how a worker sheds a request, as `fleetbench wire` prints it: it names none.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nClementinewell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// extraFleet counts the runs of each request.
type extraFleet struct {
	*fleet

	mu     sync.Mutex
	runs   map[string]int
	extras int
}

// runExtra lets workers send a refusal that belongs to no request after some of their answers. It
// arrives where the next response is expected.
func runExtra(f *fleet) (bool, error) {
	service := map[string]any{"name": bookingService, "health-path": "/health", "max-connections": 110, "cold-s": 0.0, "cold-per-s": 0.0}
	route := cwstandin.NewPublishedRoute(host, bookingService, "booking", "unsafe")
	route["target-latency-ms"], route["priority"], route["max-attempts"] = 600, 2, 1
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{service}, []any{route}))
	x := &extraFleet{fleet: f, runs: make(map[string]int)}
	for n := range bookingWorkers {
		address, id := f.ip(101+n)+":8080", fmt.Sprintf("i-%02d", n)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false, err
		}
		defer func() { _ = l.Close() }()
		go x.accept(l, id, f.hasTrouble && n < faultyWorkers)
		entry := cwstandin.NewPublishedWorker(bookingService, zone, address)
		entry["slots"], entry["born"] = 6, time.Now().UnixMilli()
		f.store.PutJSON(cwstandin.WorkerKeyPrefix+id, entry)
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	x.sendSteadily()
	x.mu.Lock()
	defer x.mu.Unlock()
	twice := 0
	for id, n := range x.runs {
		if n > 1 {
			twice++
			f.record("request %s ran %d times", id, n)
		}
	}
	f.record("%d requests ran; additional refusals: %d; unsafe requests that ran more than once: %d; the rule allows 0", len(x.runs), x.extras, twice)
	return twice > 0, nil
}

// sendSteadily sends unsafe requests at a steady rate.
func (x *extraFleet) sendSteadily() {
	var clients []*client
	for range 12 {
		clients = append(clients, newClient(x.fleet))
	}
	var wg sync.WaitGroup
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < extraTime; n++ {
		time.Sleep(extraInterval)
		wg.Go(func() {
			a := clients[n%len(clients)].do(&request{method: http.MethodPost, path: "/booking/" + strconv.Itoa(n), deadline: 10 * time.Second})
			x.record("request %s: status %d, end: %v", a.id, a.status, a.err)
		})
	}
	wg.Wait()
}

// accept serves the connections of a worker.
func (x *extraFleet) accept(l net.Listener, id string, isFaulty bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go x.serveConn(conn, id, isFaulty)
	}
}

// serveConn runs and answers the requests of a connection. A faulty worker sends an additional refusal
// after some of its answers, when the next request arrives.
func (x *extraFleet) serveConn(conn net.Conn, id string, isFaulty bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	hasExtra := false
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		request := req.Header.Get("Clementinewell-Request-Id")
		if expected := req.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nClementinewell-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		x.recordRun(request, id, hasExtra)
		if hasExtra {
			_, _ = io.WriteString(conn, refusal)
		}
		time.Sleep(extraWork)
		body := fmt.Sprintf("%800s", request)
		if _, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: 3e1b.%s\r\nContent-Length: %d\r\n\r\n%s", request, request, len(body), body); err != nil {
			return
		}
		hasExtra = isFaulty && rand.Float64() < extraShare
	}
}

// recordRun records that a worker begins to work on a request.
func (x *extraFleet) recordRun(request, id string, hasExtra bool) {
	x.mu.Lock()
	x.runs[request]++
	if hasExtra {
		x.extras++
	}
	x.mu.Unlock()
	x.record("worker %s: runs request %s; sends an additional refusal before its answer: %v", id, request, hasExtra)
}
