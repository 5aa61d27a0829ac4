package cwstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Platform stands in for the configuration service, the list of instances and
// the directory. Readers can only read and watch; a test or an operator puts
// values in from within the process or through /standin/.
type Platform struct {
	mu             sync.Mutex
	values         map[string]storedValue
	previousValues map[string]storedValue
	changed        chan struct{}
	revision       uint64
	isDown         bool
	isStale        bool
	callLimiter    *rate.Limiter
	calls          int
}

type storedValue struct {
	data     []byte
	revision uint64
}

const maxWatchWait = time.Minute

// NewPlatform returns an empty platform with a budget of calls per second.
func NewPlatform(callsPerSecond float64) *Platform {
	return &Platform{
		values:         make(map[string]storedValue),
		previousValues: make(map[string]storedValue),
		changed:        make(chan struct{}),
		callLimiter:    rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond))),
	}
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.values[key]; ok {
		p.previousValues[key] = old
	}
	p.revision++
	p.values[key] = storedValue{data: data, revision: p.revision}
	close(p.changed)
	p.changed = make(chan struct{})
}

// PutJSON publishes the JSON form of a value.
func (p *Platform) PutJSON(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("stand-in platform: " + err.Error())
	}
	p.Put(key, data)
}

// PutConfig publishes a configuration, the buckets before the manifest.
func (p *Platform) PutConfig(set cwconfig.Set) {
	for _, kv := range set.Values {
		p.Put(kv.Key, kv.Value)
	}
}

// PutDirectory publishes the entry instances with the directory that follows.
func (p *Platform) PutDirectory(entries []cwplatform.EntryInstance) {
	p.PutJSON(cwplatform.EntriesKey, entries)
	addresses := make([]string, 0, len(entries))
	for _, e := range entries {
		addresses = append(addresses, e.CallerAddress)
	}
	p.PutJSON(cwplatform.DirectoryKey, addresses)
}

// SetDown makes every call fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale makes reads return the value before the latest, or the latest again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStale = stale
}

// Calls returns the number of calls so far; a watch counts as one.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns the read interface. Behind /standin/ values can be put in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	mux.HandleFunc("PUT /standin/values/{key...}", p.servePut)
	mux.HandleFunc("PUT /standin/down/{down}", func(w http.ResponseWriter, r *http.Request) {
		p.SetDown(r.PathValue("down") == "true")
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var data json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&data); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Put(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait)
	if !p.callLimiter.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		value, status, changed := p.lookUpValue(r.PathValue("key"), after)
		if status != http.StatusNotModified {
			w.Header().Set(cwplatform.RevisionHeader, strconv.FormatUint(value.revision, 10))
			w.WriteHeader(status)
			// The reader may be gone; it reads again.
			_, _ = w.Write(value.data)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) lookUpValue(key string, after uint64) (storedValue, int, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDown {
		return storedValue{}, http.StatusServiceUnavailable, nil
	}
	value, ok := p.values[key]
	if old, had := p.previousValues[key]; p.isStale && had {
		value = old
	}
	if !ok {
		return storedValue{}, http.StatusNotFound, nil
	}
	if value.revision <= after {
		return value, http.StatusNotModified, p.changed
	}
	return value, http.StatusOK, nil
}
