package cwdispatch

import (
	"context"
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
	demandGain   = 0.3
)

// Dispatcher places requests and runs their attempts.
type Dispatcher struct {
	*cwcommon.Common
	control   *cwcontrol.Control
	endpoints *cwendpoint.Client
	forwarder *cwpeer.Forwarder

	// mu guards what follows. Control never takes it.
	mu         sync.Mutex
	rng        *rand.Rand
	pools      map[string]*poolState
	poolOf     map[string]string
	budgets    map[budgetKey]*cwpolicy.RetryBudget
	limits     *cwpolicy.Limits
	demands    []cwpolicy.LimitDemand
	book       *cwpolicy.TicketRegistry
	runs       map[cwpolicy.TicketID]*ticketRun
	runOrder   []cwpolicy.TicketID
	streams    map[string]int
	generation uint64
	heard      map[string]time.Time
	inFlight   int
	arrivals   int
	demand     float64
	idle       chan struct{}
}

type budgetKey struct {
	service, destination string
}

// NewDispatcher returns a dispatcher. The key authenticates the tickets of this
// incarnation, and the seed feeds its random choices.
func NewDispatcher(common *cwcommon.Common, control *cwcontrol.Control, endpoints *cwendpoint.Client, forwarder *cwpeer.Forwarder, key cwpolicy.TicketKey, seed uint64) *Dispatcher {
	return &Dispatcher{
		Common:    common,
		control:   control,
		endpoints: endpoints,
		forwarder: forwarder,
		rng:       rand.New(rand.NewPCG(seed, common.Incarnation)),
		pools:     make(map[string]*poolState),
		poolOf:    make(map[string]string),
		budgets:   make(map[budgetKey]*cwpolicy.RetryBudget),
		limits:    cwpolicy.NewLimits(),
		book:      cwpolicy.NewTicketRegistry(common.Incarnation, key),
		runs:      make(map[cwpolicy.TicketID]*ticketRun),
		streams:   make(map[string]int),
		heard:     make(map[string]time.Time),
	}
}

// Run does what is due once a second until ctx ends: demand, shares of limits and
// this instance's own load.
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
	s := d.sync(now)
	d.demands = d.limits.UpdateDemands(now)
	if s.AllHeard {
		for _, demand := range d.demands {
			d.limits.UpdateShare(demand.Key, s.Demands[demand.Key], now)
		}
	}
	d.demand += demandGain * (float64(d.arrivals) - d.demand)
	d.arrivals = 0
	load, demand := d.load(), d.demand
	for _, p := range d.pools {
		d.pump(p, now)
	}
	d.mu.Unlock()
	d.control.Post(ctx, cwcontrol.SelfLoad{Load: load, Demand: demand})
}

// streamsPerSize is the number of requests in flight that fill an instance of
// size 1.
const streamsPerSize = 1000

func (d *Dispatcher) load() float64 {
	return min(1, float64(d.inFlight)/(streamsPerSize*d.Settings.Size))
}

func (d *Dispatcher) pool(name string) *poolState {
	p := d.pools[name]
	if p == nil {
		p = newPoolState()
		d.pools[name] = p
	}
	return p
}

// Rooms returns what each pool can still take.
func (d *Dispatcher) Rooms() []cwcontrol.PeerRoom {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync(now)
	rooms := make([]cwcontrol.PeerRoom, 0, len(d.pools))
	for name, p := range d.pools {
		room := p.Capacity(now)
		if room.Endpoints > 0 {
			room.WaitSeconds += p.Queue.PredictWait().Seconds()
			rooms = append(rooms, cwcontrol.PeerRoom{Pool: name, Room: room})
		}
	}
	return rooms
}

// Works returns nothing: endpoints of this interface report their load themselves.
func (d *Dispatcher) Works() []cwcontrol.EndpointWork {
	return nil
}

// Demands returns the demand of each limit in use.
func (d *Dispatcher) Demands() []cwpolicy.LimitDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demands
}

// InFlight returns the number of requests that this instance works on.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Enter counts a request of an account in. It returns false, and counts nothing,
// if the account has as many in flight as it may.
func (d *Dispatcher) Enter(account string, most int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals++
	if most > 0 && d.streams[account] >= most {
		return false
	}
	d.streams[account]++
	d.inFlight++
	return true
}

// Leave counts a request out.
func (d *Dispatcher) Leave(account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.streams[account]--; d.streams[account] == 0 {
		delete(d.streams, account)
	}
	if d.inFlight == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
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
	if d.idle == nil {
		d.idle = done
	}
	return d.idle
}

// Allow reports whether the limits let the request pass; if not, it returns the
// seconds after which to come back.
func (d *Dispatcher) Allow(job *Job) (bool, float64) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync(now)
	l := job.Service.Limits
	service := cwpolicy.LimitKey{Service: job.Service.Name}
	account := cwpolicy.LimitKey{Service: job.Service.Name, Account: job.Account.Name}
	if !d.limits.Allow(account, l.AccountRequestsPerSecond, now) {
		return false, cwpolicy.ComputeRetryAfterSeconds(d.limits.RetryAfter(account, now), d.rng.Float64())
	}
	if !d.limits.Allow(service, l.RequestsPerSecond, now) {
		return false, cwpolicy.ComputeRetryAfterSeconds(d.limits.RetryAfter(service, now), d.rng.Float64())
	}
	return true, 0
}
