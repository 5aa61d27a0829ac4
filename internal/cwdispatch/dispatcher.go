package cwdispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	tickInterval = time.Second
	// requestRateGain is the weight of the latest tick in the moving average of the
	// request rate.
	requestRateGain = 0.3
)

// Dispatcher routes requests and runs their attempts.
type Dispatcher struct {
	*cwcommon.Common
	control   *cwcontrol.Control
	endpoints *cwendpoint.Client
	forwarder *cwpeer.Forwarder
	// ended is done when the instance ends, by a call of end.
	ended context.Context
	end   context.CancelCauseFunc

	// mu guards the fields below. The control goroutine never locks it.
	mu                sync.Mutex
	rng               *rand.Rand
	pools             map[string]*poolState
	poolByAddress     map[string]string
	retryBudgets      map[retryBudgetKey]*cwpolicy.RetryBudget
	limits            *cwpolicy.Limits
	limitDemands      []cwpolicy.LimitDemand
	tickets           *cwpolicy.TicketRegistry
	ticketRuns        map[cwpolicy.TicketID]*ticketRun
	ticketRunOrder    []cwpolicy.TicketID
	inFlightByAccount map[string]int
	syncedGeneration  uint64
	lastSeenByDomain  map[string]time.Time
	inFlight          int
	arrivals          int
	requestRate       float64
	drained           chan struct{}
}

type retryBudgetKey struct {
	service, destination string
}

// NewDispatcher returns a dispatcher. The key authenticates the tickets of this
// incarnation; the seed initializes the random number generator.
func NewDispatcher(common *cwcommon.Common, control *cwcontrol.Control, endpoints *cwendpoint.Client, forwarder *cwpeer.Forwarder, key cwpolicy.TicketKey, seed uint64) *Dispatcher {
	ended, end := context.WithCancelCause(context.Background())
	return &Dispatcher{
		ended:             ended,
		end:               end,
		Common:            common,
		control:           control,
		endpoints:         endpoints,
		forwarder:         forwarder,
		rng:               rand.New(rand.NewPCG(seed, common.Incarnation)),
		pools:             make(map[string]*poolState),
		poolByAddress:     make(map[string]string),
		retryBudgets:      make(map[retryBudgetKey]*cwpolicy.RetryBudget),
		limits:            cwpolicy.NewLimits(),
		tickets:           cwpolicy.NewTicketRegistry(common.Incarnation, key),
		ticketRuns:        make(map[cwpolicy.TicketID]*ticketRun),
		inFlightByAccount: make(map[string]int),
		lastSeenByDomain:  make(map[string]time.Time),
	}
}

var errEnded = errors.New("instance ends")

// End ends all requests in progress. Those whose response has not begun get one, which states
// whether the request may have run.
func (d *Dispatcher) End() {
	d.end(errEnded)
}

// Run updates the request rate, the limit shares and this instance's load, and
// processes all queues, once per second until ctx is done. It always returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tickInterval):
			d.tick(ctx)
		}
	}
}

func (d *Dispatcher) tick(ctx context.Context) {
	now := time.Now()
	d.mu.Lock()
	s := d.syncControlState(now)
	d.limitDemands = d.limits.UpdateDemands(now)
	if s.AllMembersUsable {
		for _, demand := range d.limitDemands {
			d.limits.UpdateShare(demand.Key, s.Demands[demand.Key], now)
		}
	}
	d.requestRate += requestRateGain * (float64(d.arrivals) - d.requestRate)
	d.arrivals = 0
	load, demand := d.load(), d.requestRate
	for _, p := range d.pools {
		d.processQueue(p, now)
	}
	d.mu.Unlock()
	d.control.Post(ctx, cwcontrol.SelfLoad{Load: load, RequestsPerSecond: demand})
}

// requestsPerSizeUnit is the number of requests in flight at which an instance of
// size 1 is fully loaded.
const requestsPerSizeUnit = 1000

// load returns the load of this instance, from 0 to 1. The caller holds mu.
func (d *Dispatcher) load() float64 {
	return min(1, float64(d.inFlight)/(requestsPerSizeUnit*d.Settings.Size))
}

// poolFor returns the pool with the name and creates it if needed. The caller holds
// mu.
func (d *Dispatcher) poolFor(name string) *poolState {
	p := d.pools[name]
	if p == nil {
		p = newPoolState()
		d.pools[name] = p
	}
	return p
}

// Capacities returns the capacity of each pool that has usable endpoints. Its wait
// includes the one in the queue.
func (d *Dispatcher) Capacities() []cwcontrol.PeerCapacity {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncControlState(now)
	capacities := make([]cwcontrol.PeerCapacity, 0, len(d.pools))
	for name, p := range d.pools {
		capacity := p.Capacity(now)
		if capacity.Endpoints > 0 {
			capacity.WaitSeconds += p.Queue.PredictWait().Seconds()
			capacities = append(capacities, cwcontrol.PeerCapacity{Pool: name, Capacity: capacity})
		}
	}
	return capacities
}

// EndpointWork returns nil, because endpoints called by the dispatcher report their
// load themselves.
func (d *Dispatcher) EndpointWork() []cwcontrol.EndpointWork {
	return nil
}

// LimitDemands returns the demand for each limit in use, as of the latest tick.
func (d *Dispatcher) LimitDemands() []cwpolicy.LimitDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limitDemands
}

// InFlight returns the number of requests in flight at this instance.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// BeginRequest counts a request of the account as in flight, or returns false if the
// account already has as many requests in flight as the limit allows. A limit of 0
// allows any number. The request rate of the instance includes both.
func (d *Dispatcher) BeginRequest(account string, limit int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals++
	if limit > 0 && d.inFlightByAccount[account] >= limit {
		return false
	}
	d.inFlightByAccount[account]++
	d.inFlight++
	return true
}

// EndRequest ends a request that BeginRequest counted as in flight.
func (d *Dispatcher) EndRequest(account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlightByAccount[account]--; d.inFlightByAccount[account] == 0 {
		delete(d.inFlightByAccount, account)
	}
	if d.inFlight == 0 && d.drained != nil {
		close(d.drained)
		d.drained = nil
	}
}

// Drained returns a channel that is closed once no request is in flight.
func (d *Dispatcher) Drained() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := make(chan struct{})
	if d.inFlight == 0 {
		close(done)
		return done
	}
	if d.drained == nil {
		d.drained = done
	}
	return d.drained
}

// Allow reports whether the request is within the rate limits. If it is not, it
// returns the seconds after which the caller should retry.
func (d *Dispatcher) Allow(job *Job) (bool, float64) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncControlState(now)
	l := job.Service.Limits
	serviceKey := cwpolicy.LimitKey{Service: job.Service.Name}
	accountKey := cwpolicy.LimitKey{Service: job.Service.Name, Account: job.Account.Name}
	if !d.limits.Allow(accountKey, l.AccountRequestsPerSecond, now) {
		return false, cwpolicy.ComputeRetryAfterSeconds(d.limits.RetryAfter(accountKey, now), d.rng.Float64())
	}
	if !d.limits.Allow(serviceKey, l.RequestsPerSecond, now) {
		return false, cwpolicy.ComputeRetryAfterSeconds(d.limits.RetryAfter(serviceKey, now), d.rng.Float64())
	}
	return true, 0
}
