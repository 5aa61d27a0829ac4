package cwpeer

import (
	"cmp"
	"slices"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Traffic is the traffic path as the peer interface uses it: it provides the state to
// send to peers and takes over their tickets.
type Traffic interface {
	// Capacities returns the free capacity of each pool of this instance's domain.
	Capacities() []cwcontrol.PeerCapacity
	// LimitDemands returns the demand for each limit in use.
	LimitDemands() []cwpolicy.LimitDemand
	// EndpointWork returns this instance's work at each endpoint of its region.
	EndpointWork() []cwcontrol.EndpointWork
	// TakeOverTickets takes over tickets. It returns false if this instance is leaving
	// too.
	TakeOverTickets(handovers []cwpolicy.TicketHandover) bool
}

// topDemands returns the maxDemands largest demands.
func topDemands(demands []cwpolicy.LimitDemand) []cwpolicy.LimitDemand {
	if len(demands) <= maxDemands {
		return demands
	}
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b cwpolicy.LimitDemand) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return sorted[:maxDemands]
}
