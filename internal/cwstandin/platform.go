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

// Platform stands in for the configuration service, the list of instances and the
// directory. Its clients can only read and watch values. Tests and operators write them
// with Put or through /standin/.
type Platform struct {
	mu             sync.Mutex
	values         map[string]storedValue
	previousValues map[string]storedValue
	changed        chan struct{}
	revision       uint64
	isDown         bool
	isStale        bool
	isSilent       bool
	callLimiter    *rate.Limiter
	calls          int
}

type storedValue struct {
	data     []byte
	revision uint64
}

const maxWatchWait = time.Minute

// NewPlatform returns an empty platform that serves a limited rate of calls.
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

// PutJSON publishes a value encoded as JSON.
func (p *Platform) PutJSON(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("stand-in platform: " + err.Error())
	}
	p.Put(key, data)
}

// PutConfig publishes a configuration. Its buckets are published before its manifest.
func (p *Platform) PutConfig(set cwconfig.Set) {
	for _, kv := range set.Values {
		p.Put(kv.Key, kv.Value)
	}
}

// PutDirectory publishes the entry instances and the directory of their caller
// addresses.
func (p *Platform) PutDirectory(entries []cwplatform.EntryInstance) {
	p.PutJSON(cwplatform.EntriesKey, entries)
	addresses := make([]string, 0, len(entries))
	for _, e := range entries {
		addresses = append(addresses, e.CallerAddress)
	}
	p.PutJSON(cwplatform.DirectoryKey, addresses)
}

// SetDown sets whether the platform is down. While it is, reads fail with status 503 and
// writes succeed.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetSilent sets whether the platform loses the calls that it receives and the responses that it would
// send. The connections stay open, and nothing more is sent on them.
func (p *Platform) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isSilent = silent
}

// isLost reports whether a call or its response is lost now. It returns once the client has given up.
func (p *Platform) isLost(r *http.Request) bool {
	p.mu.Lock()
	isSilent := p.isSilent
	p.mu.Unlock()
	if isSilent {
		<-r.Context().Done()
	}
	return isSilent
}

// SetStale sets whether reads return the value before the latest one, if there is one.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStale = stale
}

// Calls returns the number of calls within the rate limit so far. A watch counts as
// one call.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns the HTTP interface: reads below /v1/values/, and writes for tests and
// operators below /standin/.
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
	if p.isLost(r) {
		return
	}
	for {
		value, status, changed := p.lookUpValue(r.PathValue("key"), after)
		if status != http.StatusNotModified {
			if p.isLost(r) {
				return
			}
			w.Header().Set(cwplatform.RevisionHeader, strconv.FormatUint(value.revision, 10))
			w.WriteHeader(status)
			// The client may have disconnected. It reads again.
			_, _ = w.Write(value.data)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			if p.isLost(r) {
				return
			}
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lookUpValue returns a value that is newer than a revision and the status to send. With
// StatusNotModified it also returns a channel that is closed at the next change.
func (p *Platform) lookUpValue(key string, after uint64) (storedValue, int, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDown {
		return storedValue{}, http.StatusServiceUnavailable, nil
	}
	value, ok := p.values[key]
	if previous, found := p.previousValues[key]; p.isStale && found {
		value = previous
	}
	if !ok {
		return storedValue{}, http.StatusNotFound, nil
	}
	if value.revision <= after {
		return value, http.StatusNotModified, p.changed
	}
	return value, http.StatusOK, nil
}
