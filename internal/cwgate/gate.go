// Package cwgate serves routed requests: it finds the route, chooses an endpoint or
// another failure domain, runs the attempts and responds to the caller.
package cwgate

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwcrash"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwsite"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

// Gate forwards requests to endpoints and to other instances, by the routes of the
// configuration.
type Gate struct {
	*cwcommon.Common
	// Burn records the use of the error budget, by route.
	Burn *cwburn.Recorder
	// StreamFinder asks other instances about streams; nil if there are none.
	StreamFinder StreamFinder
	// VersionHistory tells the origin of streams that nobody knows; nil without one.
	VersionHistory VersionHistory

	site    *cwsite.Site
	control *cwcontrol.Control
	state   *cwpublished.State
	conns   *cwconn.Pool
	codec   Codec
	metrics *metrics
	// steps are taken with each request before its attempts.
	steps   []step
	crashes *cwcrash.Ledger
	streams *cwstream.Ledger
	quotas  *Quotas

	// mu guards the fields below, except startedAt and the atomic ones.
	mu  sync.Mutex
	rng *rand.Rand
	// pools and budgets are by service, and coldPeriods by endpoint.
	pools       map[string]*cwplacement.Pool
	budgets     map[string]*cwplacement.RetryBudget
	coldPeriods map[string]coldPeriod
	// coldCheckTimes decides which endpoints are asked whether they are cold.
	coldCheckTimes cwplacement.ColdCheckTimes
	// peerWorkAt is the time of the latest work report used of each peer, by address.
	peerWorkAt map[string]time.Time
	// exitAddresses are the addresses of the instances to which requests are relayed, by
	// domain.
	exitAddresses map[string]string
	// exitsSilentSince are the times at which dials to exits without an answer began, by the
	// peer address, from the first one after the latest contact.
	exitsSilentSince map[string]time.Time
	// exitsCutOffUntil are the times until which exits are avoided that are cut off from their
	// endpoints, by the peer address.
	exitsCutOffUntil map[string]time.Time
	// sharing determines which instances use what is divided among instances.
	sharing *sharing
	// slotMembers are the other instances among which the slots of brittle endpoints were divided.
	slotMembers []string
	// reach tells whether this instance is cut off from the endpoints.
	reach cwplacement.Reachability
	// watches are the endpoints to which a connection is kept, with what ends that.
	watches map[*cwplacement.Endpoint]context.CancelFunc
	// heldEnds are the latest ends of these connections, for a second.
	heldEnds map[*cwplacement.Endpoint]time.Time
	// watchedServices are the services to whose endpoints connections are kept. One of the share
	// of each endpoint's limit of connections is for that.
	watchedServices map[string]bool
	// redialing are the endpoints that are being redialed.
	redialing map[*cwplacement.Endpoint]bool
	// awaited are the endpoints of which a late response is awaited.
	awaited map[*cwplacement.Endpoint]bool
	// lateCalls limits them in number. The gate's mu guards it.
	lateCalls lateCalls
	// rateSharesSetAt is when the shares of the endpoints' rate limits were last computed.
	rateSharesSetAt time.Time
	bounds          cwsite.Bounds
	// parts are brought up to date by sync.
	parts []part
	// view and snapshot are those that sync applied last.
	view     *cwpublished.View
	snapshot *cwcontrol.Snapshot
	// originRegions are the regions with endpoints by what they serve, as of a view.
	originRegions originRegions
	contactGap    contactGap
	startedAt     time.Time
	inFlight      atomic.Int64
	// endsAt is when the instance ends; nil unless it stops.
	endsAt atomic.Pointer[time.Time]
	// ended is done when the instance ends, by a call of end.
	ended context.Context
	end   context.CancelCauseFunc
}

// NewGate returns a Gate. The seed and the instance's incarnation determine its random
// choices.
func NewGate(common *cwcommon.Common, site *cwsite.Site, control *cwcontrol.Control, state *cwpublished.State, codec Codec, seed uint64) *Gate {
	ended, end := context.WithCancelCause(context.Background())
	conns := cwconn.NewPool(common.Net)
	conns.Budget = common.Budget
	g := &Gate{
		ended:            ended,
		end:              end,
		Common:           common,
		Burn:             cwburn.NewRecorder(time.Now()),
		site:             site,
		bounds:           site.Bounds,
		control:          control,
		state:            state,
		conns:            conns,
		codec:            codec,
		metrics:          newMetrics(common.Metrics),
		rng:              rand.New(rand.NewPCG(seed, common.Incarnation)),
		pools:            make(map[string]*cwplacement.Pool),
		budgets:          make(map[string]*cwplacement.RetryBudget),
		coldPeriods:      make(map[string]coldPeriod),
		peerWorkAt:       make(map[string]time.Time),
		exitAddresses:    make(map[string]string),
		exitsSilentSince: make(map[string]time.Time),
		exitsCutOffUntil: make(map[string]time.Time),
		watches:          make(map[*cwplacement.Endpoint]context.CancelFunc),
		heldEnds:         make(map[*cwplacement.Endpoint]time.Time),
		watchedServices:  make(map[string]bool),
		redialing:        make(map[*cwplacement.Endpoint]bool),
		awaited:          make(map[*cwplacement.Endpoint]bool),
		startedAt:        time.Now(),
	}
	g.quotas = newQuotas(common, site, g.startedAt)
	g.sharing = newSharing(g.startedAt)
	g.steps, g.parts = g.newSteps(), g.newParts()
	g.streams = cwstream.NewLedger()
	g.crashes = cwcrash.NewLedger(common.Incarnation, g.logBlocks)
	return g
}

// Crashes returns the evidence about requests that end endpoints.
func (g *Gate) Crashes() *cwcrash.Ledger {
	return g.crashes
}

// Streams returns the origins of the streams that this instance knows.
func (g *Gate) Streams() *cwstream.Ledger {
	return g.streams
}

// Quotas returns what this instance knows of the spending on client accounts.
func (g *Gate) Quotas() *Quotas {
	return g.quotas
}

// Conns returns the pool of connections to endpoints and other instances.
func (g *Gate) Conns() *cwconn.Pool {
	return g.conns
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int {
	return int(g.inFlight.Load())
}

// Bounds returns the bounds in force.
func (g *Gate) Bounds() cwsite.Bounds {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bounds
}

// SetBounds replaces the bounds. Retry budgets keep what they have spent and the length of
// their window.
func (g *Gate) SetBounds(b cwsite.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	g.quotas.setBounds(b)
	for _, budget := range g.budgets {
		budget.SetBounds(b.RetryRatio, b.RetrySlack)
	}
}
