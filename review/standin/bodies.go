package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	bookingService = "dispatch-app"
	bookingWorkers = 3
	bookingTime    = 60 * time.Millisecond
	// maxBodyBytes is the limit in the configuration.
	maxBodyBytes = 4194304
	// memoryBytes is the memory limit in the settings.
	memoryBytes = 284 << 20
	// uploadTime is how long a client takes to send its body: about 17 Mbit/s.
	uploadTime = 2 * time.Second
	// usualSize and burstSize are the numbers of clients that send at the same time.
	usualSize, burstSize = 6, 180
	bursts               = 3
	burstInterval        = 14 * time.Second
)

// runBodies lets many clients send bodies of the largest size that the configuration allows. Like the
// platform, it kills a process above its memory limit.
func runBodies(f *fleet) (bool, error) {
	service := map[string]any{"name": bookingService, "health-path": "/health", "max-connections": 110, "cold-s": 0.0, "cold-per-s": 0.0}
	route := cwstandin.NewPublishedRoute(host, bookingService, "booking", "unsafe")
	route["target-latency-ms"], route["priority"], route["max-attempts"] = 600, 2, 1
	config := cwstandin.NewPublishedConfig(1, []map[string]any{service}, []any{route})
	config["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	f.store.PutJSON(cwstandin.ConfigKey, config)
	for n := range bookingWorkers {
		address, id := f.ip(101+n)+":8080", fmt.Sprintf("i-%02d", n)
		if err := f.serve(address, bookingWorker(id)); err != nil {
			return false, err
		}
		entry := cwstandin.NewPublishedWorker(bookingService, zone, address)
		entry["slots"], entry["born"] = 6, time.Now().UnixMilli()
		f.store.PutJSON(cwstandin.WorkerKeyPrefix+id, entry)
	}
	if err := f.startGateways(3); err != nil {
		return false, err
	}
	kills := make([]atomic.Int64, len(f.gateways))
	for n, g := range f.gateways {
		go g.limitMemory(&kills[n])
	}
	size := usualSize
	if f.hasTrouble {
		size = burstSize
	}
	for range bursts {
		beganAt := time.Now()
		f.sendBookings(size)
		time.Sleep(time.Until(beganAt.Add(burstInterval)))
	}
	machines, all := 0, int64(0)
	for n := range kills {
		all += kills[n].Load()
		if kills[n].Load() >= 3 {
			machines++
		}
	}
	f.record("processes that ended above their memory limit: %d; machines on which that happened three times: %d", all, machines)
	return machines >= 2, nil
}

// limitMemory kills the process whenever it exceeds its memory limit, and starts it again.
func (g *gateway) limitMemory(kills *atomic.Int64) {
	for {
		time.Sleep(20 * time.Millisecond)
		g.mu.Lock()
		isClosed, process := g.isClosed, g.cmd.Process
		g.mu.Unlock()
		if isClosed {
			return
		}
		if used := residentBytes(process.Pid); used > memoryBytes {
			kills.Add(1)
			g.fleet.record("gateway %d: uses %d MB of memory, limit %d MB", g.index, used>>20, memoryBytes>>20)
			if err := g.restart(syscall.SIGKILL); err != nil {
				return
			}
		}
	}
}

// residentBytes returns the resident memory of a process that is not shared with files; 0 if it has
// ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// slowBody is a body of zeros that arrives at a steady pace.
type slowBody struct {
	left     int
	perChunk time.Duration
}

const slowChunkBytes = 64 << 10

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.perChunk)
	n := min(len(p), b.left, slowChunkBytes)
	clear(p[:n])
	b.left -= n
	return n, nil
}

// sendBookings sends a number of requests at the same time, and waits for their answers.
func (f *fleet) sendBookings(n int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	c := newClient(f)
	for i := range n {
		wg.Go(func() {
			a := c.attempt(&request{
				method: http.MethodPost, path: "/booking/" + strconv.Itoa(i), deadline: 10 * time.Second, length: maxBodyBytes,
				body: io.LimitReader(&slowBody{left: maxBodyBytes, perChunk: uploadTime * slowChunkBytes / maxBodyBytes}, maxBodyBytes),
			})
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
	f.record("burst of %d requests of %d bytes, answers by status: %v", n, maxBodyBytes, results)
}

// bookingWorker reads a request, runs it and answers.
func bookingWorker(id string) http.HandlerFunc {
	slots := make(chan struct{}, 6)
	return func(rw http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Clementinewell-Request-Id")
		rw.Header().Set("Clementinewell-Request-Id", request)
		rw.Header().Set("Clementinewell-Instance-Id", id)
		if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		time.Sleep(bookingTime)
		rw.Header().Set("Clementinewell-Response-Signature", "3e1b."+request)
		_, _ = fmt.Fprintf(rw, "%800s", request)
	}
}
