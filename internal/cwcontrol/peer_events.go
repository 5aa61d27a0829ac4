package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// PeerReported brings what another instance says of itself and of others.
type PeerReported struct {
	// Member is the peer.
	Member cwpolicy.Member
	// KnownMembers are members that the peer knows.
	KnownMembers []cwpolicy.Member
	// Capacities are the peer's pools, by name, in Pools.
	Capacities []PeerCapacity
	// RelayedCapacities are rooms of other domains that a peer of the own domain passes on.
	RelayedCapacities []RelayedCapacity
	// Endpoints are reports from a peer of the own domain.
	Endpoints []EndpointReport
	// Demands are the peer's limits in use.
	Demands []cwpolicy.LimitDemand
	// Moves are handovers of tickets.
	Moves []cwpolicy.TicketMove
	// EndpointWork is what a peer of the own region has at the endpoints.
	EndpointWork []EndpointWork
	// RoundTrip is the time that the exchange took; 0 if the peer called.
	RoundTrip time.Duration
}

// RelayedCapacity is the room of one pool in another domain.
type RelayedCapacity struct {
	// Pool is the pool's name.
	Pool string
	cwpolicy.DomainCapacity
}

// PeerCapacity is the room of one pool at a peer.
type PeerCapacity struct {
	// Pool is the pool's name.
	Pool string
	// Capacity is what it can take.
	Capacity cwpolicy.PoolCapacity
}

func (e PeerReported) apply(s *state, now time.Time) {
	before := s.membership.Liveness(e.Member.PeerAddress)
	fresh := s.membership.OnSelfReport(e.Member, now)
	after := s.membership.Liveness(e.Member.PeerAddress)
	s.membersStale = true
	if before.Incarnation != after.Incarnation || before.IsLeaving != after.IsLeaving || !before.ContactFailedAt.IsZero() || len(e.Moves) > 0 {
		s.membersDirty = true
	}
	if !fresh {
		return
	}
	for _, other := range e.KnownMembers {
		if s.membership.OnGossip(other, now) {
			s.membersDirty = true
		}
	}
	for _, move := range e.Moves {
		s.membership.OnTicketMove(move.From, move.To)
	}
	s.demands[e.Member.PeerAddress] = e.Demands
	if len(e.EndpointWork) > 0 || len(s.peerWork[e.Member.PeerAddress].EndpointWork) > 0 {
		s.peerWork[e.Member.PeerAddress] = PeerWork{EndpointWork: e.EndpointWork, ReportedAt: now}
		s.peerWorkDirty = true
	}
	if e.Member.Domain == s.self.Domain {
		for _, report := range e.Endpoints {
			EndpointReported{report}.apply(s, now)
		}
		for i := range e.RelayedCapacities {
			s.setRelayedCapacity(&e.RelayedCapacities[i])
		}
		return
	}
	s.setCapacities(e, now)
}

// PeerFailed says that an instance could not be reached.
type PeerFailed struct {
	// Address is the peer's host and port.
	Address string
}

func (e PeerFailed) apply(s *state, now time.Time) {
	s.membership.OnContactFailure(e.Address, now)
	s.membersDirty = true
}

// TicketsMoved says that the tickets of one incarnation went to another.
type TicketsMoved struct {
	cwpolicy.TicketMove
}

func (e TicketsMoved) apply(s *state, _ time.Time) {
	s.membership.OnTicketMove(e.From, e.To)
	s.membersDirty = true
}
