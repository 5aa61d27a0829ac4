package cwstandin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
)

// endpointState is the life and load of a stand-in endpoint, embedded by each.
type endpointState struct {
	mu              sync.Mutex
	incarnation     uint64
	isLeaving       bool
	slots           int
	runningRequests int
}

// SetLeaving makes the endpoint announce that it leaves.
func (p *endpointState) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isLeaving = leaving
}

// RunningRequests returns the number of requests in work.
func (p *endpointState) RunningRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningRequests
}

func (p *endpointState) loadLocked() cwendpoint.Load {
	return cwendpoint.Load{Incarnation: p.incarnation, IsLeaving: p.isLeaving, Running: p.runningRequests, Slots: p.slots}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; nothing depends on it.
	_ = json.NewEncoder(w).Encode(v)
}
