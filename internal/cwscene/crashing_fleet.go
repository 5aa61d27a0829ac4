package cwscene

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// crashedWorkerReturn is the time after which a worker that ended is back under a new
	// entry, and crashedEntryExpiry that after which its old entry has expired.
	crashedWorkerReturn = 2500 * time.Millisecond
	crashedEntryExpiry  = 3600 * time.Millisecond
	// crashedWorkerCold is how long a worker is cold after its return.
	crashedWorkerCold = 2 * time.Second
)

// CrashingFleet is a set of workers that end under certain requests, each of which is back
// some seconds later under a new entry.
type CrashingFleet struct {
	// Crash describes the requests. Its End is set by the fleet.
	Crash cwstandin.Crash
	// PartInterval is the time between the events of a stream, and ServiceTime the time before
	// a response.
	PartInterval, ServiceTime time.Duration

	scene *RoutedScene

	mu sync.Mutex
	// workers are all that ever ran, running those that run now, by address.
	workers []*cwstandin.Worker
	running map[string]*cwstandin.Worker
	ends    []time.Time
	// crashes are the ends under requests.
	crashes []time.Time
	isOver  bool
}

// NewCrashingFleet returns a fleet without workers.
func (s *RoutedScene) NewCrashingFleet(crash cwstandin.Crash) *CrashingFleet {
	return &CrashingFleet{Crash: crash, scene: s, running: make(map[string]*cwstandin.Worker)}
}

// Add starts a worker.
func (f *CrashingFleet) Add(ip string) {
	f.start(ip, nil)
}

func (f *CrashingFleet) start(ip string, entry map[string]any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOver {
		return
	}
	w := cwstandin.NewWorker(fmt.Sprintf("worker-%s-%d", ip, len(f.workers)))
	crash := f.Crash
	crash.End = func() { f.end(ip, w, true) }
	w.SetCrash(&crash)
	w.SetPartInterval(f.PartInterval)
	w.SetServiceTime(f.ServiceTime)
	f.workers, f.running[ip] = append(f.workers, w), w
	f.scene.Net.RestoreHost(ip)
	f.scene.Serve(ip+routedBackendPort, w)
	f.scene.RegisterWorker(w.ID, domainOf(ip), ip, entry)
}

// end ends a worker as a crash does, unless it has ended already. It is back some seconds
// later.
func (f *CrashingFleet) end(ip string, w *cwstandin.Worker, isCrash bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[ip] != w || f.isOver {
		return
	}
	delete(f.running, ip)
	f.ends = append(f.ends, time.Now())
	if isCrash {
		f.crashes = append(f.crashes, time.Now())
	}
	f.scene.Net.KillHost(ip)
	time.AfterFunc(crashedWorkerReturn, func() {
		f.start(ip, map[string]any{"cold-remaining-ms": crashedWorkerCold.Milliseconds(), "born": time.Now().UnixMilli()})
	})
	time.AfterFunc(crashedEntryExpiry, func() { f.scene.Store.Remove(cwstandin.WorkerKeyPrefix + w.ID) })
}

// SetPrelude sets what the workers that run send before they end under a request.
func (f *CrashingFleet) SetPrelude(p cwstandin.CrashPrelude) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Crash.Prelude = p
	for ip, w := range f.running {
		crash := f.Crash
		crash.End = func() { f.end(ip, w, true) }
		w.SetCrash(&crash)
	}
}

// EndNow ends the worker that runs at the address, if there is one, without a request.
func (f *CrashingFleet) EndNow(ip string) {
	if w := f.Running(ip); w != nil {
		f.end(ip, w, false)
	}
}

// Drain lets the worker that runs at the address announce that it leaves, and ends it after
// the time.
func (f *CrashingFleet) Drain(ip string, after time.Duration) {
	w := f.Running(ip)
	if w == nil {
		return
	}
	f.scene.RegisterWorker(w.ID, domainOf(ip), ip, map[string]any{"state": "draining"})
	time.AfterFunc(after, func() { f.end(ip, w, false) })
}

// domainOf returns the failure domain of a worker's address.
func domainOf(ip string) string {
	if strings.HasPrefix(ip, "10.1.") {
		return "north-a"
	}
	return "south-a"
}

// Running returns the worker that runs at the address, nil if it has ended.
func (f *CrashingFleet) Running(ip string) *cwstandin.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[ip]
}

// Ends returns the times at which workers ended, in order.
func (f *CrashingFleet) Ends() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.ends...)
}

// Crashes returns the times at which workers ended under requests, in order.
func (f *CrashingFleet) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// Arrivals returns the times at which requests with matching fields and body reached workers
// after the time.
func (f *CrashingFleet) Arrivals(matches func(header http.Header, body string) bool, after time.Time) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var arrivals []time.Time
	for _, w := range f.workers {
		for _, run := range w.Runs() {
			if run.ReceivedAt.After(after) && matches(run.Header, run.Body) {
				arrivals = append(arrivals, run.ReceivedAt)
			}
		}
	}
	return arrivals
}

// Close prevents that workers end or start from now on.
func (f *CrashingFleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isOver = true
}
