package cwsoak_test

import (
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// workDelay is the longest time that a slow worker takes before it serves a request.
	workDelay = 300 * time.Millisecond
	// minWork and maxWork bound the work on a long request: more than a quarter of the
	// shutdown grace.
	minWork = time.Second
	maxWork = 2 * time.Second
	// eventPause is the pause before each event of a long stream.
	eventPause = 350 * time.Millisecond
)

// workerObserver passes requests to a worker and records what became of them there.
type workerObserver struct {
	worker *cwstandin.Worker
	domain string

	mu sync.Mutex
	// born is the start that the worker's entry names. mu guards it.
	born int64
	work map[string]work
	// running is the number of requests that the worker is at work on. mu guards it too.
	running int
	// isSlow delays a quarter of the requests by up to workDelay. mu guards it too.
	isSlow bool
	// proxy passes the worker's bytes. mu guards it too.
	proxy *proxy
}

// work is a request at a worker. endedAt is zero while the worker is at work.
type work struct {
	endedAt  time.Time
	brokeOff bool
}

func (o *workerObserver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	delay := o.begin(id)
	brokeOff := true
	defer func() {
		// A worker that is silent when it has finished is still at work for its callers.
		o.findProxy().awaitSilenceEnd()
		// An aborted handler is no break of the worker's own if its client has left before.
		o.end(id, brokeOff && r.Context().Err() == nil)
	}()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}
	o.worker.ServeHTTP(o.pace(w, r), r)
	brokeOff = false
}

// begin records the start of work on a request and returns the delay that its ID gives it.
func (o *workerObserver) begin(id string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work[id] = work{}
	o.running++
	if n := hashID(id); o.isSlow && n%4 == 0 {
		return time.Duration(n/4) % workDelay
	}
	return 0
}

// pace returns a writer that takes as long as the kind of request does. A response without
// events pauses only between its head and its body.
func (o *workerObserver) pace(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	for _, k := range longKinds {
		switch {
		case !strings.HasPrefix(r.URL.Path, "/"+k.route+"/"):
		case k.tokens != "":
			return &pacedWriter{ResponseWriter: w, request: r, pause: eventPause}
		default:
			pause := minWork + time.Duration(hashID(r.Header.Get(headerRequestID)))%(maxWork-minWork)
			return &pacedWriter{ResponseWriter: w, request: r, pause: pause}
		}
	}
	return w
}

func hashID(id string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}

func (o *workerObserver) end(id string, brokeOff bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work[id] = work{endedAt: time.Now(), brokeOff: brokeOff}
	o.running--
}

// restarted gives the worker a new start.
func (o *workerObserver) restarted() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.born++
}

func (o *workerObserver) startedAt() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.born
}

func (o *workerObserver) setProxy(p *proxy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proxy = p
}

func (o *workerObserver) findProxy() *proxy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proxy
}

func (o *workerObserver) setSlow(isSlow bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isSlow = isSlow
}

// find returns the work on a request, and whether it has reached the worker.
func (o *workerObserver) find(id string) (work, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.work[id]
	return found, ok
}
