package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	brittleService = "clementinewell-pool"
	brittleWorkers = 6
	brittleSlots   = 32
	// mostRejected is the number in Server-Brittle: a worker falls over that turns more requests away
	// within a second.
	mostRejected = 8
	// usualQueue is the number of requests that a worker lets wait, and shortQueue that from contact
	// after the workers have first said that they are brittle.
	usualQueue, shortQueue = 64, 4
	// fallTime is how long a worker is down that fell over.
	fallTime = 4 * time.Second
	// entryLifetime is the time after which the store removes the entry of a silent worker.
	entryLifetime = 3600 * time.Millisecond
	streamEvents  = 12
	eventInterval = 250 * time.Millisecond
	// brittleLoad is the number of requests per second, as a share of what the workers can run.
	brittleLoad = 1.2
	// brittleTime is how long the workers say that they are brittle.
	brittleTime = 30 * time.Second
)

// brittleFleet is a service whose workers are brittle from a time on.
type brittleFleet struct {
	*fleet
	brittleAt time.Time

	mu              sync.Mutex
	starts          int
	counted, others int
	isOver          bool
}

// brittleWorker is one life of a worker.
type brittleWorker struct {
	fleet  *brittleFleet
	n      int
	id     string
	server *http.Server

	mu         sync.Mutex
	admitted   int
	slots      chan struct{}
	rejections []rejection
	hasFallen  bool
	rejected   int
}

type rejection struct {
	at      time.Time
	gateway int
	inTouch bool
}

func runBrittle(f *fleet) (bool, error) {
	engine := map[string]any{"slots": brittleSlots, "kv-capacity": 339156, "token-kv-bytes": 18432, "link-mbps": 88000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}
	service := map[string]any{"name": brittleService, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine}
	route := cwstandin.NewPublishedRoute(host, brittleService, "assist", "streaming")
	route["timeout-ms"], route["target-latency-ms"], route["priority"], route["session-affinity"], route["resumable"] = 12000, 600, 0, true, false
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{service}, []any{route}))
	b := &brittleFleet{fleet: f, brittleAt: time.Now().Add(leadTime + 8*time.Second)}
	for n := range brittleWorkers {
		if err := b.startWorker(n); err != nil {
			return false, err
		}
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	endsAt := b.brittleAt.Add(brittleTime)
	var restarts sync.WaitGroup
	if f.hasTrouble {
		restarts.Go(func() { b.restartGateway(b.brittleAt.Add(contact + 6*time.Second)) })
	}
	b.sendUntil(endsAt)
	b.mu.Lock()
	b.isOver = true
	counted, others := b.counted, b.others
	b.mu.Unlock()
	restarts.Wait()
	bound := 2 + 0.1*brittleWorkers
	f.record("%d workers; falls mostly by machines in touch: %d, other falls: %d; the rule allows %.1f", brittleWorkers, counted, others, bound)
	return float64(counted) > bound, nil
}

// restartGateway restarts one gateway as planned work.
func (b *brittleFleet) restartGateway(at time.Time) {
	time.Sleep(time.Until(at))
	if err := b.gateways[0].restart(syscall.SIGTERM); err != nil {
		b.record("gateway 0: not started again: %v", err)
	}
}

// sendUntil sends requests at a steady rate.
func (b *brittleFleet) sendUntil(end time.Time) {
	capacity := float64(brittleWorkers*brittleSlots) / (float64(streamEvents) * eventInterval.Seconds())
	interval := time.Duration(float64(time.Second) / (capacity * brittleLoad))
	var clients []*client
	for range 12 {
		clients = append(clients, newClient(b.fleet))
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	next := time.Now()
	for n := 0; next.Before(end); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		wg.Go(func() {
			a := clients[n%len(clients)].do(&request{method: http.MethodPost, path: "/assist/" + strconv.Itoa(n), deadline: 12 * time.Second, header: map[string]string{
				"Clementinewell-Model": "m", "Clementinewell-Token-Count": "628,72", "Clementinewell-Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:430", 0x1000000+n),
			}})
			result := strconv.Itoa(a.status)
			if a.err != nil {
				result = "broken off"
			}
			mu.Lock()
			results[result]++
			mu.Unlock()
		})
	}
	wg.Wait()
	b.record("answers by status: %v", results)
}

// startWorker starts a life of a worker and writes its entry.
func (b *brittleFleet) startWorker(n int) error {
	b.mu.Lock()
	b.starts++
	w := &brittleWorker{fleet: b, n: n, id: fmt.Sprintf("i-%02d-%03d", n, b.starts), slots: make(chan struct{}, brittleSlots)}
	b.mu.Unlock()
	address := b.ip(101+n) + ":8080"
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	b.fleet.mu.Lock()
	b.servers = append(b.servers, w.server)
	b.fleet.mu.Unlock()
	go func() { _ = w.server.Serve(l) }()
	entry := cwstandin.NewPublishedWorker(brittleService, zone, address)
	entry["slots"], entry["born"] = brittleSlots, time.Now().UnixMilli()
	b.store.PutJSON(cwstandin.WorkerKeyPrefix+w.id, entry)
	b.record("worker %s: started", w.id)
	return nil
}

// fall ends a life of a worker. Another one begins under a new identifier.
func (b *brittleFleet) fall(w *brittleWorker, isCounted bool) {
	b.mu.Lock()
	isOver := b.isOver
	switch {
	case isOver:
	case isCounted:
		b.counted++
	default:
		b.others++
	}
	b.mu.Unlock()
	if isOver {
		return
	}
	_ = w.server.Close()
	time.AfterFunc(entryLifetime, func() { b.store.Remove(cwstandin.WorkerKeyPrefix + w.id) })
	time.Sleep(fallTime)
	if err := b.startWorker(w.n); err != nil {
		b.record("worker %s: not started again: %v", w.id, err)
	}
}

// ServeHTTP runs a request, or turns it away for want of room.
func (w *brittleWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Clementinewell-Request-Id")
	rw.Header().Set("Clementinewell-Request-Id", id)
	rw.Header().Set("Clementinewell-Instance-Id", w.id)
	if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	if now.After(w.fleet.brittleAt) {
		rw.Header().Set("Server-Brittle", strconv.Itoa(mostRejected))
	}
	if !w.admit(id, now) {
		rw.Header().Set("Clementinewell-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Clementinewell-Response-Signature", "3e1b."+id)
	rw.Header().Set("Clementinewell-Weight-Versions", "1")
	wait := 30 * time.Millisecond
	for n := range streamEvents {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
		_ = http.NewResponseController(rw).Flush()
		wait = eventInterval
	}
}

// admit reports whether there is room for a request. A brittle worker that has none too often falls
// over.
func (w *brittleWorker) admit(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := usualQueue
	if now.Sub(w.fleet.brittleAt) >= contact {
		queue = shortQueue
	}
	if w.admitted < brittleSlots+queue {
		w.admitted++
		return true
	}
	index, _ := strconv.Atoi(id[1:2])
	w.rejections = append(w.rejections, rejection{at: now, gateway: index, inTouch: w.fleet.gateways[index].isInTouch(now)})
	for now.Sub(w.rejections[0].at) >= time.Second {
		w.rejections = w.rejections[1:]
	}
	w.fleet.record("worker %s: %s turned away, %d within a second", w.id, id, len(w.rejections))
	if len(w.rejections) <= mostRejected || now.Before(w.fleet.brittleAt) || w.hasFallen {
		return false
	}
	w.hasFallen = true
	inTouch, by := 0, make(map[int]int)
	for _, r := range w.rejections {
		by[r.gateway]++
		if r.inTouch {
			inTouch++
		}
	}
	isCounted := 2*inTouch > len(w.rejections)
	w.fleet.record("worker %s: falls over; turned away %d within a second, %d from machines in touch; by gateway: %v; counted: %v", w.id, len(w.rejections), inTouch, by, isCounted)
	go w.fleet.fall(w, isCounted)
	return false
}

func (w *brittleWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitted--
}
