// Package cwcontrol runs the goroutine that owns the control state of an instance.
// It applies events and publishes immutable snapshots, which the traffic path reads
// without a lock.
package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Snapshot is the control state at one moment. It is immutable. Parts that did not
// change are shared with the previous snapshot.
type Snapshot struct {
	// Generation rises with every snapshot.
	Generation uint64
	// Config is the configuration in force; nil before the first, and for an instance
	// that applies published state instead.
	Config *cwconfig.State
	// ConfigTracker holds the accepted version, and whether and when it was confirmed.
	ConfigTracker cwpolicy.ConfigTracker
	// Self describes this instance.
	Self cwpolicy.Member
	// Members are the other instances, ordered by peer address.
	Members []cwpolicy.Member
	// Endpoints are those of this instance's failure domain, ordered by address.
	Endpoints []EndpointRecord
	// Capacities are those of the other domains, by pool.
	Capacities CapacityTable
	// PeerWork is the work in progress of each other instance of the region, by peer
	// address.
	PeerWork map[string]PeerWork
	// TicketMoves are the recorded handovers of tickets.
	TicketMoves []cwpolicy.TicketMove
	// Demands are the request rates at all usable other instances together, by limit.
	Demands DemandTable
	// MemberDemands are the request rates that each other instance last reported, by peer
	// address and limit.
	MemberDemands map[string][]cwpolicy.LimitDemand
	// AllMembersUsable is set while every other instance that is not leaving is usable.
	AllMembersUsable bool
	// IsReady is set while the instance may serve: its configuration is confirmed, its
	// initial exchange is done, and it is not leaving.
	IsReady bool
}

// CapacityTable lists the capacity of each pool in the other domains, by pool.
type CapacityTable map[string][]cwpolicy.DomainCapacity

// DemandTable holds the demand for each limit, in requests per second.
type DemandTable map[cwpolicy.LimitKey]float64

// TicketOwner returns the member that owns the tickets of an incarnation, or nil if
// none of the other instances does.
func (s *Snapshot) TicketOwner(incarnation uint64) *cwpolicy.Member {
	return cwpolicy.FindTicketOwner(s.Members, s.TicketMoves, incarnation)
}

// UsableMembers returns the usable members of a domain whose incarnation is known.
func (s *Snapshot) UsableMembers(domain string, now time.Time) []cwpolicy.Member {
	var usable []cwpolicy.Member
	for _, m := range s.Members {
		if m.Domain == domain && m.Incarnation != 0 && m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			usable = append(usable, m)
		}
	}
	return usable
}

// MembersWithSelf returns the other members, followed by this instance.
func (s *Snapshot) MembersWithSelf() []cwpolicy.Member {
	all := make([]cwpolicy.Member, 0, len(s.Members)+1)
	all = append(all, s.Members...)
	return append(all, s.Self)
}
