// Package cwgate is the path of a routed request: it finds the route, has a place
// decided, runs the attempts and answers the caller.
package cwgate

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwsite"
)

// Gate serves routed requests.
type Gate struct {
	*cwcommon.Common
	// Burn is the service-level report, by route.
	Burn *cwburn.Recorder

	site    *cwsite.Site
	control *cwcontrol.Control
	state   *cwpublished.State
	conns   *cwconn.Pool
	codec   Codec
	metrics *metrics

	// mu guards what follows.
	mu          sync.Mutex
	rng         *rand.Rand
	pools       map[string]*cwplacement.Pool
	budgets     map[string]*cwplacement.RetryBudget
	coldPeriods map[string]coldPeriod
	// peerWorkAt is when each peer said what was taken over last.
	peerWorkAt map[string]time.Time
	// exitAddresses are the addresses for relayed requests by domain.
	exitAddresses map[string]string
	bounds        cwsite.Bounds
	view          *cwpublished.View
	snapshot      *cwcontrol.Snapshot
	startedAt     time.Time
	inFlight      atomic.Int64
	closeConns    atomic.Bool
}

// NewGate returns a gate.
func NewGate(common *cwcommon.Common, site *cwsite.Site, control *cwcontrol.Control, state *cwpublished.State, codec Codec, seed uint64) *Gate {
	return &Gate{
		Common:        common,
		Burn:          cwburn.NewRecorder(time.Now()),
		site:          site,
		bounds:        site.Bounds,
		control:       control,
		state:         state,
		conns:         cwconn.NewPool(common.Net),
		codec:         codec,
		metrics:       newMetrics(common.Metrics),
		rng:           rand.New(rand.NewPCG(seed, common.Incarnation)),
		pools:         make(map[string]*cwplacement.Pool),
		budgets:       make(map[string]*cwplacement.RetryBudget),
		coldPeriods:   make(map[string]coldPeriod),
		peerWorkAt:    make(map[string]time.Time),
		exitAddresses: make(map[string]string),
		startedAt:     time.Now(),
	}
}

// Conns returns the connections to endpoints and instances.
func (g *Gate) Conns() *cwconn.Pool {
	return g.conns
}

// InFlight returns the number of requests that are not answered yet.
func (g *Gate) InFlight() int {
	return int(g.inFlight.Load())
}

// CloseConnections makes every answer ask its caller to close the connection.
func (g *Gate) CloseConnections() {
	g.closeConns.Store(true)
}

// Bounds returns the bounds in force.
func (g *Gate) Bounds() cwsite.Bounds {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bounds
}

// SetBounds changes the bounds. What budgets have used up stays used.
func (g *Gate) SetBounds(b cwsite.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	for _, budget := range g.budgets {
		budget.SetBounds(b.RetryRatio, b.RetrySlack)
	}
}
