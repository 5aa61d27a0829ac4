package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestHealthCheckIsSentWhereARequestMayBe guards against a health check that ends a brittle endpoint,
// that exceeds a limit, or that reaches an endpoint which takes nothing.
func TestHealthCheckIsSentWhereARequestMayBe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, sc := range []struct {
		name    string
		prepare func(p *cwplacement.Pool, e *cwplacement.Endpoint)
		isSent  bool
	}{
		{"warm", func(*cwplacement.Pool, *cwplacement.Endpoint) {}, true},
		{"cold by its entry", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.ColdUntil = now.Add(time.Second) }, false},
		{"may have restarted", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.Suspect(now, time.Time{}) }, true},
		{"refuses connections", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.MarkUnreachable(now) }, false},
		{"evacuated", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.IsEvacuated = true }, false},
		{"leaving", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.AnnounceLeaving() }, false},
		{"wants a pause", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.AnnouncePause(time.Second, now) }, false},
		{"brittle", func(p *cwplacement.Pool, _ *cwplacement.Endpoint) { p.RecordBrittle(true, now, now) }, false},
		{"rate limit without a share", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) { e.ObserveRateLimit(true, 1, now, now) }, false},
		{"no cold rate", func(p *cwplacement.Pool, e *cwplacement.Endpoint) {
			p.Service.ColdRate = 0
			p.Register(e.Endpoint, "north", true, now.Add(-time.Minute), time.Time{})
		}, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			p := cwplacement.NewPool(cwroute.Service{Name: "m", ColdRate: 2}, "a", rand.New(rand.NewPCG(1, 2)))
			e := p.Register(cwroute.Endpoint{ID: "e", Service: "m", Domain: "a", Slots: 8}, "north", true, now.Add(-time.Minute), time.Time{})
			sc.prepare(p, e)
			is.Equal(p.MayCheckHealth(e, now), sc.isSent)
		})
	}
}

// TestHealthCheckCountsWhileCold guards against a cold endpoint that gets its whole rate of requests
// beside health checks.
func TestHealthCheckCountsWhileCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := cwplacement.NewPool(cwroute.Service{Name: "m", ColdRate: 2}, "a", rand.New(rand.NewPCG(1, 2)))
	e := p.Register(cwroute.Endpoint{ID: "e", Service: "m", Domain: "a", Slots: 8}, "north", true, now.Add(-time.Minute), now.Add(time.Minute))
	is.True(e.IsUsable(now))
	e.CountHealthCheck(now)
	is.True(!e.IsUsable(now.Add(400 * time.Millisecond)))
	e.CountHealthCheck(now.Add(400 * time.Millisecond)) // beyond the rate: the next request waits longer
	is.True(!e.IsUsable(now.Add(900 * time.Millisecond)))
	is.True(e.IsUsable(now.Add(time.Second)))
}
