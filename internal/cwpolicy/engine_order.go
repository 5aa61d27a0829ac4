package cwpolicy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// OrderFreshness is how recently the configuration must have been confirmed
	// for an order to an engine that does not check fencing numbers.
	OrderFreshness = 5 * time.Second
	// LoadsAtOnce bounds the loads that one domain asks of the weight store.
	LoadsAtOnce = 2
)

// EngineOrder tells an engine which model and adapters to have loaded.
type EngineOrder struct {
	// Endpoint is the engine's address.
	Endpoint string
	// Model and Adapters are the desired state.
	Model    string
	Adapters []string
	// Fence is the number of the configuration that the order follows.
	Fence uint64
}

// EngineState is what an engine reports of its loading.
type EngineState struct {
	// Endpoint is the engine's address.
	Endpoint string
	// Assigned is the model that the platform's list gives the engine.
	Assigned string
	// Loaded are the models that are ready; Loading is set while one is not.
	Loaded  []string
	Loading bool
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
}

// OrderInput is what orders are computed from.
type OrderInput struct {
	// Services are those of the configuration in force.
	Services []*cwservice.Service
	// Engines are the engines of this domain.
	Engines []EngineState
	// Fence is the number of the configuration.
	Fence uint64
	// Fresh is set if the configuration was confirmed within OrderFreshness.
	Fresh bool
	// Sender is set if this instance is the one that sends in its domain.
	Sender bool
}

// Orders returns the orders that bring the engines to the desired state. Every
// instance computes the same from the same input, so sending one twice is
// harmless. Engines that ignore fencing get orders only from the domain's
// sender, and only while its configuration is fresh.
func Orders(in OrderInput) []EngineOrder {
	loading := 0
	for _, e := range in.Engines {
		if e.Loading {
			loading++
		}
	}
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b EngineState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var orders []EngineOrder
	for _, e := range engines {
		s := serviceOf(in.Services, e.Assigned)
		if s == nil || e.Loading || slices.Contains(e.Loaded, s.Model) || loading >= LoadsAtOnce {
			continue
		}
		if e.Fence > in.Fence || !maySend(in, s.Fencing) {
			continue
		}
		loading++
		orders = append(orders, EngineOrder{Endpoint: e.Endpoint, Model: s.Model, Adapters: s.Adapters, Fence: in.Fence})
	}
	return orders
}

func maySend(in OrderInput, fencing cwservice.Fencing) bool {
	if fencing == cwservice.Checked {
		return true
	}
	return in.Sender && in.Fresh
}

func serviceOf(services []*cwservice.Service, model string) *cwservice.Service {
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

// IsSender reports whether the instance sends the orders of its domain.
func IsSender(self, domain string, members []Member, now time.Time) bool {
	own := xxhash.Sum64String("sender " + self)
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.Usable(now, MemberSilence) && xxhash.Sum64String("sender "+m.Address) < own {
			return false
		}
	}
	return true
}
