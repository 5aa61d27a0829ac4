package cwgate

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

const (
	// redialInterval is the interval at which an ejected endpoint is dialled, one connection
	// at a time. The connection that succeeds serves the next request.
	redialInterval = 250 * time.Millisecond
	// redialTimeout is the timeout of such a dial. It covers the round trips within a region;
	// TCP repeats a lost handshake later than the next redial is made.
	redialTimeout = 250 * time.Millisecond
	// redialPeriod is how long an endpoint is dialled in this way. Requests look for its
	// return later, each time after its ejection.
	redialPeriod = 15 * time.Second
)

// startRedialing dials an endpoint that could not be reached until it accepts a connection.
// It does nothing if that is already in progress. The caller holds mu.
func (g *Gate) startRedialing(e *cwplacement.Endpoint, service string) {
	if !g.redialing[e] {
		g.redialing[e] = true
		address := e.Address
		g.Go("redial", func() { g.redial(e, address, service) })
	}
}

func (g *Gate) redial(e *cwplacement.Endpoint, address, service string) {
	defer g.stopRedialing(e)
	start := time.Now()
	for g.ended.Err() == nil && (time.Since(start) < redialPeriod || g.isCutOff()) {
		dialedAt := time.Now()
		err := g.conns.Preconnect(context.Background(), address, g.maxConns(service), redialTimeout)
		if !g.recordRedial(e, service, dialedAt, err) {
			break
		}
		cwcommon.Sleep(g.ended, time.Until(dialedAt.Add(redialInterval)))
	}
}

func (g *Gate) isCutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reach.IsCutOff()
}

func (g *Gate) stopRedialing(e *cwplacement.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.redialing, e)
}

// recordRedial records the result of a redial, and returns whether the next one is needed.
func (g *Gate) recordRedial(e *cwplacement.Endpoint, service string, dialedAt time.Time, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sync(now)
	if g.pools[service].Endpoint(e.ID) != e || e.HasStartedDraining() || !e.IsEjected(now) {
		return false
	}
	switch {
	case err == nil:
		e.MarkReachable(now)
		g.recordReached(now)
		return false
	case errors.Is(err, cwconn.ErrConnLimit):
		return true
	case errors.Is(err, cwconn.ErrNoAnswer):
		e.MarkSilent(dialedAt, now)
	default:
		e.MarkRefused(now)
	}
	g.recordUnreached(e.ID, dialedAt, now)
	return true
}
