package cwgate

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// returnPollInterval is the interval at which a request that waits for silent endpoints checks
// whether one is back.
const returnPollInterval = 25 * time.Millisecond

var errAllSilent = errors.New("no endpoint has ended its silence in time")

// awaitReturn waits while the request has no place but silent endpoints that may be sound. It
// returns false if the request ended first.
func (g *Gate) awaitReturn(ctx context.Context, routed *routedRequest) bool {
	timer := time.NewTimer(returnPollInterval)
	defer timer.Stop()
	for g.awaitsReturn(routed) {
		select {
		case <-timer.C:
			timer.Reset(returnPollInterval)
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (g *Gate) awaitsReturn(routed *routedRequest) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	p := g.pools[routed.service]
	wasTried, _ := g.limitToOrigin(routed, routed.hasTried)
	return p != nil && p.AwaitsReturn(wasTried, now)
}

// postponePlace makes the place of the attempt the last choice of the request: it has not
// answered a dial. A domain whose silence is longer than a sound instance's is excluded.
func (a *attempt) postponePlace() {
	routed := a.req
	if a.exitDomain == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if routed.silentSince.IsZero() {
		routed.silentSince = a.startedAt
	}
	if time.Since(routed.silentSince) >= cwplacement.MaxSoundSilence {
		routed.triedPlaces = append(routed.triedPlaces, a.exitDomain)
		return
	}
	routed.silentDomains = append(routed.silentDomains, a.exitDomain)
}
