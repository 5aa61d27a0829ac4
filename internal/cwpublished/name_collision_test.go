package cwpublished_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestEndpointNamedLikeDomain guards against an evacuation that ends, or an endpoint that stays,
// because an endpoint has the name of the evacuated domain and one of the two items is removed.
func TestEndpointNamedLikeDomain(t *testing.T) {
	decode := func(key string, _ []byte) (*cwpublished.Record, error) {
		if key == "evacuate/a" {
			return &cwpublished.Record{Evacuation: &cwroute.Evacuation{Domain: "a"}}, nil
		}
		return &cwpublished.Record{Endpoint: &cwroute.Endpoint{ID: "a"}}, nil
	}
	for _, c := range []struct {
		removed                  string
		isEvacuated, hasEndpoint bool
	}{
		{"endpoints/a", true, false},
		{"evacuate/a", false, true},
	} {
		t.Run(c.removed, func(t *testing.T) {
			is := is.New(t)
			s := cwpublished.NewState(&cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope}, decode)
			s.Apply("store", cwpublished.Delta{Revision: 2, Items: []cwpublished.Item{{Key: "endpoints/a", Revision: 1}, {Key: "evacuate/a", Revision: 2}}})
			s.Apply("store", cwpublished.Delta{Revision: 3, Items: []cwpublished.Item{{Key: c.removed, Revision: 3, IsRemoved: true}}})
			is.Equal(s.View().EvacuatedDomains["a"], c.isEvacuated)
			_, hasEndpoint := s.View().Endpoints["a"]
			is.Equal(hasEndpoint, c.hasEndpoint)
		})
	}
}
