package cwpeer

import (
	"cmp"
	"slices"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Traffic is what the traffic path tells of itself for exchanges, and where it
// takes over tickets.
type Traffic interface {
	// Capacities returns what each pool can still take.
	Capacities() []cwcontrol.PeerCapacity
	// LimitDemands returns the demand of each limit in use.
	LimitDemands() []cwpolicy.LimitDemand
	// EndpointWork returns what this instance has at each endpoint of its region.
	EndpointWork() []cwcontrol.EndpointWork
	// TakeOverTickets takes over tickets; it returns false if this instance leaves too.
	TakeOverTickets(handovers []cwpolicy.TicketHandover) bool
}

// topDemands returns the largest demands.
func topDemands(demands []cwpolicy.LimitDemand) []cwpolicy.LimitDemand {
	if len(demands) <= maxDemands {
		return demands
	}
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b cwpolicy.LimitDemand) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return sorted[:maxDemands]
}
