package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestRefusedCallersReturnOneAfterTheOther guards against callers that are refused together
// because an endpoint's rate limit is spent, return together and find one request allowed.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := cwplacement.NewPool(cwroute.Service{}, "a", rand.New(rand.NewPCG(1, 1)))
	e := p.Register(cwroute.Endpoint{ID: "limited", Domain: "a"}, "north", false, now, time.Time{})
	e.ObserveRateLimit(true, 2, now, now)
	e.SetRateShare(2, 1, now)
	requirements := cwplacement.Requirements{FirstByteTarget: time.Second, FirstByteTimeout: 5 * time.Second}
	request := &cwplacement.Request{Requirements: requirements, IsLocalAllowed: true, WasTried: func(string) bool { return false }}
	for _, atLeast := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		d := p.Decide(request, now)
		is.Equal(d.Action, cwplacement.ActionRefuse)
		is.Equal(d.Reason, "rateLimit")
		is.True(d.RetryAfter >= atLeast)
		is.True(d.RetryAfter <= atLeast*3/2) // with the jitter
	}
	d := p.Decide(request, now.Add(600*time.Millisecond))
	is.Equal(d.Action, cwplacement.ActionSend)
	is.True(d.IsEndpointLimited)
}
