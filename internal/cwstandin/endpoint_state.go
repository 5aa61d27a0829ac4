package cwstandin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
)

// endpointState is the incarnation and load of a stand-in endpoint. Engine and
// PlainService embed it.
type endpointState struct {
	mu              sync.Mutex
	incarnation     uint64
	isLeaving       bool
	slots           int
	runningRequests int
}

// SetLeaving sets whether the endpoint reports that it is leaving.
func (s *endpointState) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = leaving
}

// RunningRequests returns the number of requests that are running now.
func (s *endpointState) RunningRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningRequests
}

// loadLocked returns the load report. The caller holds mu.
func (s *endpointState) loadLocked() cwendpoint.Load {
	return cwendpoint.Load{Incarnation: s.incarnation, IsLeaving: s.isLeaving, RunningRequests: s.runningRequests, Slots: s.slots}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected. Nothing depends on the write.
	_ = json.NewEncoder(w).Encode(v)
}
