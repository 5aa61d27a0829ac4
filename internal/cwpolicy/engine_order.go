package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// OrderConfigMaxAge is how long after the last confirmation of the configuration
	// orders are sent to engines that do not check fencing numbers.
	OrderConfigMaxAge = 5 * time.Second
	// MaxConcurrentLoads limits how many engines of a domain load from the weight
	// store at once.
	MaxConcurrentLoads = 2
)

// EngineOrder instructs an engine which model and adapters to load.
type EngineOrder struct {
	// Endpoint is the engine's address.
	Endpoint string
	// Model and Adapters are the desired state.
	Model    string
	Adapters []string
	// FencingNumber is the number of the configuration that the order is based on.
	FencingNumber uint64
}

// EngineState is the loading state that an engine reports.
type EngineState struct {
	// Endpoint is the engine's address.
	Endpoint string
	// AssignedModel is the model that the platform's list assigns to the engine.
	AssignedModel string
	// LoadedModels are the models that are ready. IsLoading is set while a model is
	// being loaded.
	LoadedModels []string
	IsLoading    bool
	// HighestFencingNumber is the highest fencing number that the engine has received.
	HighestFencingNumber uint64
}

// EngineOrderInput is the input of ComputeEngineOrders.
type EngineOrderInput struct {
	// Services are the services of the configuration in force.
	Services []*cwservice.Service
	// Engines are the engines of this domain.
	Engines []EngineState
	// FencingNumber is the number of the configuration in force.
	FencingNumber uint64
	// IsConfigFresh is set if the configuration was confirmed within
	// OrderConfigMaxAge.
	IsConfigFresh bool
	// IsSender is set if this instance sends the orders of its domain.
	IsSender bool
}

// ComputeEngineOrders returns the orders that bring the engines to the desired
// state. It is deterministic: all instances compute the same orders from the same
// input, so a duplicate order is harmless. Engines that do not check fencing
// numbers get orders only from the domain's sender, and only while its
// configuration is fresh. No order is added once MaxConcurrentLoads engines are loading
// or have been ordered to.
func ComputeEngineOrders(in EngineOrderInput) []EngineOrder {
	loadCount := 0
	for _, e := range in.Engines {
		if e.IsLoading {
			loadCount++
		}
	}
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b EngineState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var orders []EngineOrder
	for _, e := range engines {
		s := findEngineService(in.Services, e.AssignedModel)
		if s == nil || e.IsLoading || slices.Contains(e.LoadedModels, s.Model) || loadCount >= MaxConcurrentLoads {
			continue
		}
		if e.HighestFencingNumber > in.FencingNumber || !mayOrder(in, s.Fencing) {
			continue
		}
		loadCount++
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

// findEngineService returns the engine service with the model, or nil. If there are
// several, it returns the first by name, so that all instances select the same one.
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

// IsOrderSender reports whether the instance with the peer address self sends the
// orders of its domain: it is the usable instance with the lowest hash. The members are
// the other instances.
func IsOrderSender(self, domain string, members []Member, now time.Time) bool {
	ownHash := xxhash.Sum64String("sender " + self)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.IsUsable(now, MemberContactTimeout) && xxhash.Sum64String("sender "+m.PeerAddress) < ownHash {
			return false
		}
	}
	return true
}
