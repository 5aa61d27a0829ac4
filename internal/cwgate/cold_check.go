package cwgate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

const (
	// coldCheckTick is the interval at which it is determined which checks are due.
	coldCheckTick = 250 * time.Millisecond
	// coldCheckTimeout is the time for the response to a check. It waits for a slot as a request does.
	coldCheckTimeout = time.Second
)

// coldCheck is a health check of an endpoint that asks whether it is cold.
type coldCheck struct {
	endpoint *cwplacement.Endpoint
	id       string
	address  string
	// service and healthPath are those of the endpoint's service.
	service, healthPath string
}

// RunColdChecks asks endpoints of this instance's failure domain whether they are cold while their
// entries can't be read, until ctx ends. It always returns nil.
func (g *Gate) RunColdChecks(ctx context.Context) error {
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, coldCheckTick)
		for _, c := range g.takeColdChecks(time.Now()) {
			g.Go("coldCheck", func() { g.checkCold(ctx, c) })
		}
	}
	return nil
}

// takeColdChecks returns the checks that are due. Of the instances that may send requests to an
// endpoint only the one checks it that owns it while it is cold.
func (g *Gate) takeColdChecks(now time.Time) []coldCheck {
	isSilent := isStoreSilent(g.control.Snapshot(), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isSilent {
		g.coldCheckTimes.Reset()
		return nil
	}
	g.sync(now)
	var checks []coldCheck
	for name, p := range g.pools {
		if p.Service.HealthPath == "" {
			continue
		}
		for id, e := range p.Endpoints() {
			if p.MayCheckHealth(e, now) && g.ownsCold(id, e.Domain, now) && g.coldCheckTimes.Take(id, e.UnreachableAt(), now) {
				e.CountHealthCheck(now)
				checks = append(checks, coldCheck{endpoint: e, id: id, address: e.Address, service: name, healthPath: p.Service.HealthPath})
			}
		}
	}
	return checks
}

// checkCold sends a health check and records what the endpoint says of being cold.
func (g *Gate) checkCold(ctx context.Context, c coldCheck) {
	ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
	defer cancel()
	g.metrics.coldChecks.Inc(1)
	request := g.codec.BuildHealthCheck(c.id, c.address, c.healthPath)
	response, err := g.conns.Do(ctx, &cwconn.Call{
		Address: c.address, Method: request.Method, MaxConns: g.maxConns(c.service),
		EncodeHead: func() []byte { return request.Head }, MatchResponse: request.MatchResponse,
	})
	if err != nil {
		g.Log.Info("endpoint not asked whether it is cold", zap.String("endpoint", c.id), zap.Error(err))
		return
	}
	response.Discard()
	left, isStated := g.codec.DecodeColdTime(response.Header)
	if !isStated || left <= 0 || request.MatchResponse(response.StatusCode, response.Header.Get) != cwconn.MatchByName {
		return
	}
	g.recordColdStatement(c, left, time.Now())
}

// recordColdStatement records that an endpoint has stated for how long it is cold.
func (g *Gate) recordColdStatement(c coldCheck, left time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	if g.pools[c.service].Endpoint(c.id) != c.endpoint || !g.extendColdPeriod(c.id, now.Add(left)) {
		return
	}
	period := g.coldPeriods[c.id]
	period.statedUntil = period.until
	g.coldPeriods[c.id] = period
	g.Log.Info("endpoint states that it is cold", zap.String("endpoint", c.id), zap.Duration("left", left))
	g.syncEndpoints(now)
}
