package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestRateLimitOutlivesLapsedEntry guards against an endpoint whose entry lapses and comes back
// without a restart, and that then gets requests beyond its rate limit until it has told every
// instance again.
func TestRateLimitOutlivesLapsedEntry(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name            string
		startedAtMillis int64
		isNamed         bool
	}{
		{name: "same incarnation", startedAtMillis: 7, isNamed: true},
		{name: "restarted", startedAtMillis: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := cwplacement.NewPool(cwroute.Service{}, "a", rand.New(rand.NewPCG(1, 1)))
			e := p.Register(cwroute.Endpoint{ID: "limited", StartedAtMillis: 7}, "north", false, now, time.Time{})
			e.ObserveRateLimit(true, 2, now, now)
			e.SetRateShare(1, 1, now)
			p.Retain(func(string) bool { return false })
			is.Equal(len(p.Endpoints()), 0)
			e = p.Register(cwroute.Endpoint{ID: "limited", StartedAtMillis: test.startedAtMillis}, "north", false, now.Add(time.Second), time.Time{})
			is.Equal(e.RateLimit().IsNamed, test.isNamed)
			is.Equal(e.RateShare() == 1, test.isNamed)
		})
	}
}
