package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// OrderConfigMaxAge is how recently the configuration must have been confirmed
	// for an order to an engine that does not check fencing numbers.
	OrderConfigMaxAge = 5 * time.Second
	// MaxConcurrentLoads bounds the loads that one domain asks of the weight store.
	MaxConcurrentLoads = 2
)

// EngineOrder tells an engine which model and adapters to have loaded.
type EngineOrder struct {
	// Endpoint is the engine's address.
	Endpoint string
	// Model and Adapters are the desired state.
	Model    string
	Adapters []string
	// FencingNumber is the number of the configuration that the order follows.
	FencingNumber uint64
}

// EngineState is what an engine reports of its loading.
type EngineState struct {
	// Endpoint is the engine's address.
	Endpoint string
	// AssignedModel is the model that the platform's list gives the engine.
	AssignedModel string
	// LoadedModels are the models that are ready; Loading is set while one is not.
	LoadedModels []string
	IsLoading    bool
	// HighestFencingNumber is the highest fencing number that the engine has seen.
	HighestFencingNumber uint64
}

// EngineOrderInput is what orders are computed from.
type EngineOrderInput struct {
	// Services are those of the configuration in force.
	Services []*cwservice.Service
	// Engines are the engines of this domain.
	Engines []EngineState
	// FencingNumber is the number of the configuration.
	FencingNumber uint64
	// IsConfigFresh is set if the configuration was confirmed within OrderFreshness.
	IsConfigFresh bool
	// IsSender is set if this instance is the one that sends in its domain.
	IsSender bool
}

// ComputeEngineOrders returns the orders that bring the engines to the desired state. Every
// instance computes the same from the same input, so sending one twice is
// harmless. Engines that ignore fencing get orders only from the domain's
// sender, and only while its configuration is fresh.
func ComputeEngineOrders(in EngineOrderInput) []EngineOrder {
	loading := 0
	for _, e := range in.Engines {
		if e.IsLoading {
			loading++
		}
	}
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b EngineState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var orders []EngineOrder
	for _, e := range engines {
		s := findEngineService(in.Services, e.AssignedModel)
		if s == nil || e.IsLoading || slices.Contains(e.LoadedModels, s.Model) || loading >= MaxConcurrentLoads {
			continue
		}
		if e.HighestFencingNumber > in.FencingNumber || !mayOrder(in, s.Fencing) {
			continue
		}
		loading++
		orders = append(orders, EngineOrder{Endpoint: e.Endpoint, Model: s.Model, Adapters: s.Adapters, FencingNumber: in.FencingNumber})
	}
	return orders
}

func mayOrder(in EngineOrderInput, fencing cwservice.Fencing) bool {
	if fencing == cwservice.FencingChecked {
		return true
	}
	return in.IsSender && in.IsConfigFresh
}

func findEngineService(services []*cwservice.Service, model string) *cwservice.Service {
	var found *cwservice.Service
	for _, s := range services {
		if s.Kind != cwservice.Engine || s.Model != model {
			continue
		}
		if found == nil || s.Name < found.Name {
			found = s
		}
	}
	return found
}

// IsOrderSender reports whether the instance sends the orders of its domain.
func IsOrderSender(self, domain string, members []Member, now time.Time) bool {
	own := xxhash.Sum64String("sender " + self)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.IsUsable(now, MemberContactTimeout) && xxhash.Sum64String("sender "+m.PeerAddress) < own {
			return false
		}
	}
	return true
}
