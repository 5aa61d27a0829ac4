package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
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
	// era is the number of returns from a copy, and isAway is set while no call is answered.
	era    int
	isAway bool
	// waiting counts the watches that wait, by the address at which the store was called.
	waiting map[string]int
}

// storeCopy is a copy of the store's items.
type storeCopy struct {
	items    map[string]item
	revision uint64
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{}), waiting: make(map[string]int)}
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

// size returns the size in bytes of a value.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
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
	mux.HandleFunc("GET /v1/kv-range", s.answered(s.serveRange))
	mux.HandleFunc("GET /v1/kv-watch", s.answered(s.serveWatch))
	return mux
}

// answered closes the connection of a call without an answer while the store is away.
func (s *store) answered(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		isAway := s.isAway
		s.mu.Unlock()
		if isAway {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// copyItems returns a copy of the items.
func (s *store) copyItems() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{items: maps.Clone(s.items), revision: s.revision}
}

// leave makes the store go away: it cuts the watches that wait and answers no call.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store answer again, from a copy.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = false
	s.era++
	s.items, s.revision, s.history, s.dropped = maps.Clone(c.items), c.revision, nil, c.revision
}

// waitingAt returns the addresses at which a watch waits.
func (s *store) waitingAt() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := make(map[string]bool)
	for address, n := range s.waiting {
		if n > 0 {
			at[address] = true
		}
	}
	return at
}

// wait waits for a change, the end of the call or the time limit, and counts the watch meanwhile.
func (s *store) wait(r *http.Request, changed <-chan struct{}, timeout <-chan time.Time) (isOver bool) {
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	count := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting[address] += n
	}
	count(1)
	defer count(-1)
	select {
	case <-changed:
		return false
	case <-timeout:
	case <-r.Context().Done():
	}
	return true
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
	s.writeJSON(w, map[string]any{"items": items[:n], "truncated": n < len(items), "current-rev": current})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		s.trim()
		changed, current, isGone, isAway := s.changed, s.revision, after < s.dropped || after > s.revision, s.isAway
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if isAway {
			panic(http.ErrAbortHandler)
		}
		if isGone {
			s.setEra(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			n := s.writeJSON(w, map[string]any{"events": events, "current-rev": current})
			s.mu.Lock()
			s.largestWatch = max(s.largestWatch, n)
			s.mu.Unlock()
			return
		}
		if s.wait(r, changed, timeout) {
			s.writeJSON(w, map[string]any{"events": events, "current-rev": current})
			return
		}
	}
}

// writeJSON writes a body and returns its length.
func (s *store) writeJSON(w http.ResponseWriter, v any) int {
	s.setEra(w)
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(raw)
	return n
}

// setEra names the era in the head of an answer.
func (s *store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}
