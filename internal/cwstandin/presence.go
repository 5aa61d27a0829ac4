package cwstandin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
)

// presence is the life and load of a stand-in endpoint, embedded by each.
type presence struct {
	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	slots       int
	running     int
}

// SetLeaving makes the endpoint announce that it leaves.
func (p *presence) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Running returns the number of requests in work.
func (p *presence) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *presence) load() cwendpoint.Load {
	return cwendpoint.Load{Incarnation: p.incarnation, IsLeaving: p.leaving, Running: p.running, Slots: p.slots}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; nothing depends on it.
	_ = json.NewEncoder(w).Encode(v)
}
