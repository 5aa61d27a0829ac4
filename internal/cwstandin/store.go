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

// Keys of the platform's store.
const (
	// ConfigKey is the key of the configuration.
	ConfigKey = "op/config"
	// WorkerKeyPrefix is the prefix of a worker's key. The worker's identifier follows.
	WorkerKeyPrefix = "servers/"
)

// Store stands in for the users' platform's store of published state. It serves range
// reads and watches over one revision counter.
type Store struct {
	mu                sync.Mutex
	items             map[string]storeItem
	history           []storeItem
	compactedRevision uint64
	revision          uint64
	// era is the number of calls of Restore.
	era          uint64
	changed      chan struct{}
	shouldRefuse func(remote string) bool
	shouldHang   func(remote string) bool
	// calls counts the calls that count toward the rate limit, and staleReads the others.
	calls, staleReads int
}

type storeItem struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created-rev,omitempty"`
	IsRemoved       bool   `json:"removed,omitempty"`

	changedAt time.Time
}

// HistoryTime is how long the store keeps changes.
const HistoryTime = 20 * time.Second

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]storeItem), changed: make(chan struct{}), shouldRefuse: never, shouldHang: never}
}

// never is a predicate that holds for no client.
func never(string) bool { return false }

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

// PutJSON writes an item whose value is encoded as JSON.
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

// recordChange adds a change to the history and wakes all watches. The caller holds mu.
func (s *Store) recordChange(item storeItem) {
	item.changedAt = time.Now()
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropOldChanges drops the changes that are older than HistoryTime. The caller holds mu.
func (s *Store) dropOldChanges() {
	for len(s.history) > 0 && time.Since(s.history[0].changedAt) > HistoryTime {
		s.compactedRevision = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// Compact drops the history. Watches from an older revision then fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// RefuseIf sets a predicate on the client's address. Calls for which it holds fail with
// status 503. With nil, no call is refused.
func (s *Store) RefuseIf(refuse func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refuse == nil {
		refuse = never
	}
	s.shouldRefuse = refuse
}

// SetHanging sets whether calls hang: they are processed, but get no response and stay
// open until the client closes the connection.
func (s *Store) SetHanging(hanging bool) {
	s.HangIf(func(string) bool { return hanging })
}

// HangIf sets a predicate on the client's address that is evaluated for each response. Calls for
// which it holds hang as with SetHanging. With nil, no call hangs.
func (s *Store) HangIf(hang func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hang == nil {
		hang = never
	}
	s.shouldHang = hang
}

// Calls returns the number of calls so far without stale reads, including refused ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// StaleReads returns the number of reads so far with allow-stale, which cost a tenth of a
// call, including refused ones.
func (s *Store) StaleReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleReads
}

// Handler returns the HTTP interface for range reads and watches.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.withRefusal(s.serveRange))
	mux.HandleFunc("GET /v1/kv-watch", s.withRefusal(s.serveWatch))
	return mux
}

// withRefusal counts each call and refuses those for which shouldRefuse holds.
func (s *Store) withRefusal(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.URL.Query().Get("allow-stale") == "1" {
			s.staleReads++
		} else {
			s.calls++
		}
		refused := s.shouldRefuse(r.RemoteAddr)
		w.Header().Set(eraHeader, s.formatEra())
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// writeResponse sends a JSON response, or none while the store is hanging.
func (s *Store) writeResponse(w http.ResponseWriter, r *http.Request, v any) {
	s.mu.Lock()
	hanging := s.shouldHang(r.RemoteAddr)
	s.mu.Unlock()
	if hanging {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// maxRangeItems is the maximum number of items in one response to a range read.
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
	w.Header().Set(eraHeader, s.formatEra())
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > maxRangeItems
	s.writeResponse(w, r, map[string]any{"items": items[:min(len(items), maxRangeItems)], "truncated": truncated, "current-rev": current})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path-prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropOldChanges()
		changed, compacted, current := s.changed, s.compactedRevision, s.revision
		w.Header().Set(eraHeader, s.formatEra())
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if after < compacted || after > current {
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
