package cwpolicy_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// TestComputeEngineOrders guards against orders from an outdated configuration or an
// instance that is not the sender, and against too many concurrent loads.
func TestComputeEngineOrders(t *testing.T) {
	service := func(f cwservice.Fencing) []*cwservice.Service {
		return []*cwservice.Service{{Name: "chat", Kind: cwservice.Engine, Model: "m", Fencing: f}}
	}
	engine := cwpolicy.EngineState{Endpoint: "e", AssignedModel: "m"}
	scenarios := []struct {
		name   string
		in     cwpolicy.EngineOrderInput
		orders int
	}{
		{"unloaded model is ordered", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingChecked), Engines: []cwpolicy.EngineState{engine}, FencingNumber: 3}, 1},
		{"loaded model is not ordered", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingChecked), Engines: []cwpolicy.EngineState{{Endpoint: "e", AssignedModel: "m", LoadedModels: []string{"m"}}}, FencingNumber: 3}, 0},
		{"engine has received a newer fencing number", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingChecked), Engines: []cwpolicy.EngineState{{Endpoint: "e", AssignedModel: "m", HighestFencingNumber: 4}}, FencingNumber: 3}, 0},
		{"fencing not checked, not the sender", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingIgnored), Engines: []cwpolicy.EngineState{engine}, IsConfigFresh: true}, 0},
		{"fencing not checked, configuration not fresh", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingIgnored), Engines: []cwpolicy.EngineState{engine}, IsSender: true}, 0},
		{"fencing not checked, sender with fresh configuration", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingIgnored), Engines: []cwpolicy.EngineState{engine}, IsSender: true, IsConfigFresh: true}, 1},
		{"at most two concurrent loads", cwpolicy.EngineOrderInput{Services: service(cwservice.FencingChecked), Engines: []cwpolicy.EngineState{
			{Endpoint: "e", AssignedModel: "m", IsLoading: true}, {Endpoint: "f", AssignedModel: "m"}, {Endpoint: "g", AssignedModel: "m"},
		}}, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			orders := cwpolicy.ComputeEngineOrders(sc.in)
			is.Equal(len(orders), sc.orders)
			for _, o := range orders {
				is.Equal(o.FencingNumber, sc.in.FencingNumber)
			}
		})
	}
}
