package cwgate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

const (
	// watchInterval is the interval at which an endpoint is dialed whose watched connection ends at once,
	// or which does not answer.
	watchInterval = 250 * time.Millisecond
	// shortWatch is the time within which a watched connection ends if its endpoint is ending: it is
	// accepted a moment before the endpoint refuses connections.
	shortWatch = 50 * time.Millisecond
	// maxShortWatches is the number of such dials in a row, 50 ms of them: an endpoint with too many
	// connections closes new ones too.
	maxShortWatches = 10
	// minWatchShare is the smallest share of the limit of connections of which one is kept for this.
	minWatchShare = 4
	// shortWatchInterval is the interval of dials after such an end.
	shortWatchInterval = 5 * time.Millisecond
)

// syncWatches watches the endpoints of services whose streams may go on at another one. The caller
// holds mu.
func (g *Gate) syncWatches() {
	wanted := make(map[*cwplacement.Endpoint]bool)
	clear(g.watchedServices)
	for name, p := range g.pools {
		if !g.hasResumableStreams(name) || !isWatchAffordable(g.connShare(p.Service.MaxConns)) {
			continue
		}
		g.watchedServices[name] = true
		for id := range g.view.Endpoints {
			if e := p.Endpoint(id); e != nil && !e.HasStartedDraining() {
				wanted[e] = true
				g.startWatch(e)
			}
		}
	}
	for e, cancel := range g.watches {
		if !wanted[e] {
			cancel()
			delete(g.watches, e)
		}
	}
}

// isWatchAffordable reports whether the share of the limit of connections leaves one for a watch; 0 is
// no limit.
func isWatchAffordable(connShare int) bool {
	return connShare == 0 || connShare >= minWatchShare
}

func (g *Gate) hasResumableStreams(service string) bool {
	if g.view.Config == nil {
		return false
	}
	for _, r := range g.view.Config.Routes {
		if r.Kind == cwroute.Stream && r.IsResumable && r.LeadsTo(service) {
			return true
		}
	}
	return false
}

func (g *Gate) startWatch(e *cwplacement.Endpoint) {
	if g.watches[e] != nil {
		return
	}
	ctx, cancel := context.WithCancel(g.ended)
	g.watches[e] = cancel
	address := e.Address
	g.Go("watch", func() { defer cancel(); g.watch(ctx, e, address) })
}

// watch keeps a connection to an endpoint, so that its end is noticed also while it serves nothing: until
// its new entry arrives its software version is uncertain.
func (g *Gate) watch(ctx context.Context, e *cwplacement.Endpoint, address string) {
	wasHeld, shortWatches := false, 0
	var idleTimeout atomic.Int64
	for ctx.Err() == nil {
		start := time.Now()
		err := g.conns.Hold(ctx, address, cwconn.DialTimeout)
		if ctx.Err() != nil {
			return
		}
		var callErr *cwconn.CallError
		errors.As(err, &callErr)
		pause := watchInterval
		switch {
		case callErr.Sent && time.Since(start) < shortWatch:
			if shortWatches++; shortWatches <= maxShortWatches {
				pause = shortWatchInterval
			}
		case callErr.Sent:
			pause, shortWatches = 0, 0
			end := watchEnd{endpoint: e, address: address, at: time.Now(), idleTimeout: &idleTimeout}
			end.held = end.at.Sub(start)
			g.recordHeldEnd(e, end.at)
			g.Go("checkReplaced", func() { g.checkReplaced(ctx, end) })
		case errors.Is(err, cwconn.ErrNoAnswer):
		case wasHeld:
			g.recordWatchEnd(e, start)
		}
		wasHeld = callErr.Sent
		cwcommon.Sleep(ctx, pause)
	}
}

const (
	// survivorCheckDelay is the time after which the ends of all connections of a process have usually been
	// noticed, and lateSurvivorCheckDelay that on a busy machine.
	survivorCheckDelay     = 30 * time.Millisecond
	lateSurvivorCheckDelay = 150 * time.Millisecond
)

// watchEnd is the end of a watched connection that its endpoint did not follow up with a refusal.
type watchEnd struct {
	endpoint *cwplacement.Endpoint
	address  string
	// at is when the connection ended, and held how long it lasted.
	at   time.Time
	held time.Duration
	// idleTimeout is how long, in nanoseconds, the latest one lasted that was closed for being idle; 0
	// if none was.
	idleTimeout *atomic.Int64
}

// isIdleTimeout reports whether the connection lasted as long as one that was closed for being idle.
func (w *watchEnd) isIdleTimeout() bool {
	return (w.held - time.Duration(w.idleTimeout.Load())).Abs() <= w.held/idleTimeoutTolerance
}

// idleTimeoutTolerance is the part of a timeout, as a divisor, by which two of them may differ.
const idleTimeoutTolerance = 20

// commonEndTime is the time within which the connections to several endpoints end if this instance loses
// them all.
const commonEndTime = 100 * time.Millisecond

// recordHeldEnd records when the watched connection to an endpoint has ended.
func (g *Gate) recordHeldEnd(e *cwplacement.Endpoint, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, endedAt := range g.heldEnds {
		if at.Sub(endedAt) > time.Second {
			delete(g.heldEnds, other)
		}
	}
	g.heldEnds[e] = at
}

// isCommonEnd reports whether the watched connection to another endpoint ended at the same time: this
// instance has lost its connections, and no process was replaced. The caller holds mu.
func (g *Gate) isCommonEnd(w *watchEnd) bool {
	for other, endedAt := range g.heldEnds {
		if other != w.endpoint && endedAt.Sub(w.at).Abs() < commonEndTime {
			return true
		}
	}
	return false
}

// checkReplaced marks an endpoint whose watched connection has ended if no other connection to it has
// survived that: an idle one is closed alone, and a process that is replaced takes all of them with it. If
// there was no other one, the time decides that it lasted.
func (g *Gate) checkReplaced(ctx context.Context, w watchEnd) {
	cwcommon.Sleep(ctx, survivorCheckDelay)
	hasOpen, hasLost := g.conns.Survivors(w.address, w.at)
	if hasOpen {
		cwcommon.Sleep(ctx, lateSurvivorCheckDelay-survivorCheckDelay)
		hasOpen, hasLost = g.conns.Survivors(w.address, w.at)
	}
	if hasOpen {
		w.idleTimeout.Store(int64(w.held))
	}
	if hasOpen || !hasLost && w.isIdleTimeout() {
		return
	}
	e := w.endpoint
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isCommonEnd(&w) {
		return
	}
	e.MarkReplaced(w.at)
	g.metrics.replacements.Inc(1)
	g.Log.Info("endpoint may have been replaced", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("version", e.Version))
}

// recordWatchEnd records that an endpoint refused a connection that was begun at a time.
func (g *Gate) recordWatchEnd(e *cwplacement.Endpoint, dialedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	e.MarkUnreachable(now)
	g.recordUnreached(e.ID, dialedAt, now)
}
