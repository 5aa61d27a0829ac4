package cwpeer

import (
	"cmp"
	"slices"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Traffic is the part of the traffic path that the peer interface uses: it provides the
// state to send to peers and takes over their tickets.
type Traffic interface {
	// Capacities returns the capacity of each pool of this instance's domain.
	Capacities() []cwcontrol.PeerCapacity
	// LimitDemands returns the request rate at this instance for each limit in use.
	LimitDemands() []cwpolicy.LimitDemand
	// EndpointWork returns this instance's work at the endpoints of its region, and its
	// measurements there. It may omit idle endpoints.
	EndpointWork() []cwcontrol.EndpointWork
	// TakeOverTickets takes over tickets. It returns false if it does not take over all of
	// them, for example because this instance is leaving too.
	TakeOverTickets(handovers []cwpolicy.TicketHandover) bool
}

// topDemands returns the largest demands, at most maxDemands.
func topDemands(demands []cwpolicy.LimitDemand) []cwpolicy.LimitDemand {
	if len(demands) <= maxDemands {
		return demands
	}
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b cwpolicy.LimitDemand) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return sorted[:maxDemands]
}
