package cwstandin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Keys of the store, as the platform names them.
const (
	// ConfigKey holds the configuration.
	ConfigKey = "op/config"
	// WorkerKeyPrefix precedes the identifiers of workers.
	WorkerKeyPrefix = "servers/"
)

// Store stands in for the store of published state of the users' platform: ranges
// and watches over one revision counter.
type Store struct {
	mu                sync.Mutex
	items             map[string]storeItem
	history           []storeItem
	compactedRevision uint64
	revision          uint64
	changed           chan struct{}
	shouldRefuse      func(remote string) bool
	isHanging         bool
	calls             int
}

type storeItem struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created-rev,omitempty"`
	IsRemoved       bool   `json:"removed,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]storeItem), changed: make(chan struct{}), shouldRefuse: func(string) bool { return false }}
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreatedRevision: s.revision}
	if old, ok := s.items[key]; ok {
		item.CreatedRevision = old.CreatedRevision
	}
	s.items[key] = item
	s.recordChange(item)
}

// PutJSON writes an item with a JSON value.
func (s *Store) PutJSON(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(key, raw)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordChange(storeItem{Key: key, Revision: s.revision, IsRemoved: true})
}

// recordChange tells the watches of a change. The caller holds mu.
func (s *Store) recordChange(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// RefuseIf answers 503 to the addresses for which the function holds; nil serves all.
func (s *Store) RefuseIf(refuse func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refuse == nil {
		refuse = func(string) bool { return false }
	}
	s.shouldRefuse = refuse
}

// SetHanging makes calls that have arrived wait for ever.
func (s *Store) SetHanging(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isHanging = lost
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler serves ranges and watches.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.withRefusal(s.serveRange))
	mux.HandleFunc("GET /v1/kv-watch", s.withRefusal(s.serveWatch))
	return mux
}

func (s *Store) withRefusal(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		refused := s.shouldRefuse(r.RemoteAddr)
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// writeResponse sends a JSON answer unless answers are being lost.
func (s *Store) writeResponse(w http.ResponseWriter, r *http.Request, v any) {
	s.mu.Lock()
	lost := s.isHanging
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// maxRangeItems bounds the items of one page.
const maxRangeItems = 50

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	current := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > maxRangeItems
	s.writeResponse(w, r, map[string]any{"items": items[:min(len(items), maxRangeItems)], "truncated": more, "current-rev": current})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, dropped, current := s.changed, s.compactedRevision, s.revision
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if after < dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.writeResponse(w, r, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeResponse(w, r, map[string]any{"events": events, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}
