package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestExclusions guards against refusals whose log line names a wrong reason.
func TestExclusions(t *testing.T) {
	now := time.Unix(1000, 0)
	scenarios := []struct {
		name           string
		change         func(e *cwplacement.Endpoint)
		isLocalAllowed bool
		expected       cwplacement.Exclusions
	}{
		{"region where the request may not be served", func(*cwplacement.Endpoint) {}, false, cwplacement.Exclusions{Region: 1}},
		{"leaving endpoint", func(e *cwplacement.Endpoint) { e.IsEvacuated = true }, true, cwplacement.Exclusions{Leaving: 1}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			p := cwplacement.NewPool(cwroute.Service{Name: "m"}, "a", rand.New(rand.NewPCG(1, 2)))
			s.change(p.Register(cwroute.Endpoint{ID: "endpoint", Service: "m", Domain: "a"}, "north", true, now, now))
			req := cwplacement.Request{IsLocalAllowed: s.isLocalAllowed, WasTried: never, WasDomainTried: never}
			d := p.Decide(&req, now)
			is.Equal(d.Action, cwplacement.ActionRefuse)
			is.Equal(*d.Exclusions, s.expected)
		})
	}
}
