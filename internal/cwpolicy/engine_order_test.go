package cwpolicy_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func TestOrders(t *testing.T) {
	service := func(f cwservice.Fencing) []*cwservice.Service {
		return []*cwservice.Service{{Name: "chat", Kind: cwservice.Engine, Model: "m", Fencing: f}}
	}
	engine := cwpolicy.EngineState{Endpoint: "e", Assigned: "m"}
	scenarios := []struct {
		name   string
		in     cwpolicy.OrderInput
		orders int
	}{
		{"missing model is ordered", cwpolicy.OrderInput{Services: service(cwservice.Checked), Engines: []cwpolicy.EngineState{engine}, Fence: 3}, 1},
		{"loaded model is not", cwpolicy.OrderInput{Services: service(cwservice.Checked), Engines: []cwpolicy.EngineState{{Endpoint: "e", Assigned: "m", Loaded: []string{"m"}}}, Fence: 3}, 0},
		{"engine saw a newer number", cwpolicy.OrderInput{Services: service(cwservice.Checked), Engines: []cwpolicy.EngineState{{Endpoint: "e", Assigned: "m", Fence: 4}}, Fence: 3}, 0},
		{"no check, not the sender", cwpolicy.OrderInput{Services: service(cwservice.Ignored), Engines: []cwpolicy.EngineState{engine}, Fresh: true}, 0},
		{"no check, configuration not fresh", cwpolicy.OrderInput{Services: service(cwservice.Ignored), Engines: []cwpolicy.EngineState{engine}, Sender: true}, 0},
		{"no check, fresh sender", cwpolicy.OrderInput{Services: service(cwservice.Ignored), Engines: []cwpolicy.EngineState{engine}, Sender: true, Fresh: true}, 1},
		{"two loads at once", cwpolicy.OrderInput{Services: service(cwservice.Checked), Engines: []cwpolicy.EngineState{
			{Endpoint: "e", Assigned: "m", Loading: true}, {Endpoint: "f", Assigned: "m"}, {Endpoint: "g", Assigned: "m"},
		}}, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			orders := cwpolicy.Orders(sc.in)
			is.Equal(len(orders), sc.orders)
			for _, o := range orders {
				is.Equal(o.Fence, sc.in.Fence)
			}
		})
	}
}
