package main

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

const (
	// historyTime is how long the store keeps changes for watches: provider.history-s of the settings.
	historyTime = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a range read.
	maxPageItems, maxPageBytes = 500, 1 << 20
	// maxWatchWait is the longest time that a watch waits.
	maxWatchWait = 30 * time.Second
)

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// store stands in for the platform's store. It keeps all that it has acknowledged, and the changes of
// the last historyTime for watches.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	dropped  uint64
	revision uint64
	changed  chan struct{}
	// largestWatch is the size in bytes of the largest response to a watch.
	largestWatch int
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{})}
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return i.at
}

// remove removes an item and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	i := item{Key: key, Revision: s.revision, Removed: true, at: time.Now()}
	s.record(i)
	return i.at
}

// record adds a change to the history. The caller holds mu.
func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops what is older than historyTime. The caller holds mu.
func (s *store) trim() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	return mux
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	items := []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	current := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	n, bytes := 0, 0
	for n < len(items) && n < maxPageItems && (n == 0 || bytes+len(items[n].Value) <= maxPageBytes) {
		bytes += len(items[n].Value)
		n++
	}
	writeJSON(w, map[string]any{"items": items[:n], "truncated": n < len(items), "current-rev": current})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		s.trim()
		changed, current, isGone := s.changed, s.revision, after < s.dropped || after > s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			n := writeJSON(w, map[string]any{"events": events, "current-rev": current})
			s.mu.Lock()
			s.largestWatch = max(s.largestWatch, n)
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON writes a body and returns its length.
func writeJSON(w http.ResponseWriter, v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(raw)
	return n
}
