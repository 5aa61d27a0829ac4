// Package cwcontrol runs the one goroutine that owns the control state of an
// instance. It takes in events and publishes immutable snapshots, which the
// traffic path reads without a lock.
package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Snapshot is the control state at one moment. It is never changed; parts that
// did not change are shared with the snapshot before.
type Snapshot struct {
	// Generation rises with every snapshot.
	Generation uint64
	// Config is the configuration in force; nil before the first.
	Config *cwconfig.State
	// ConfigTracker tells whether the configuration was confirmed, and when.
	ConfigTracker cwpolicy.ConfigTracker
	// Self describes this instance.
	Self cwpolicy.Member
	// Members are the other instances, ordered by address.
	Members []cwpolicy.Member
	// Endpoints are those of the own failure domain.
	Endpoints []EndpointRecord
	// Capacities are the summaries from other domains, by pool.
	Capacities CapacityTable
	// PeerWork is what other instances of the region have at the endpoints, by peer.
	PeerWork map[string]PeerWork
	// TicketMoves are the handovers of tickets.
	TicketMoves []cwpolicy.TicketMove
	// Demands are what the other instances see for each limit.
	Demands DemandTable
	// AllMembersUsable is set while every listed instance of the own domain answers.
	AllMembersUsable bool
	// Ready is set once the instance may serve.
	Ready bool
}

// CapacityTable lists the summaries of each pool.
type CapacityTable map[string][]cwpolicy.DomainCapacity

// DemandTable holds the demand of other instances for each limit, in requests
// per second.
type DemandTable map[cwpolicy.LimitKey]float64

// TicketOwner returns the member that owns the tickets of an incarnation, or nil.
func (s *Snapshot) TicketOwner(incarnation uint64) *cwpolicy.Member {
	return cwpolicy.FindTicketOwner(s.Members, s.TicketMoves, incarnation)
}

// UsableMembers returns the usable members of a domain.
func (s *Snapshot) UsableMembers(domain string, now time.Time) []cwpolicy.Member {
	var exits []cwpolicy.Member
	for _, m := range s.Members {
		if m.Domain == domain && m.Incarnation != 0 && m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			exits = append(exits, m)
		}
	}
	return exits
}

// MembersWithSelf returns all members and this instance.
func (s *Snapshot) MembersWithSelf() []cwpolicy.Member {
	all := make([]cwpolicy.Member, 0, len(s.Members)+1)
	all = append(all, s.Members...)
	return append(all, s.Self)
}
