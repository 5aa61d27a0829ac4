package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// PeerHeard brings what another instance says of itself and of others.
type PeerHeard struct {
	// Member is the peer.
	Member cwpolicy.Member
	// Others are members that the peer knows.
	Others []cwpolicy.Member
	// Rooms are the peer's pools, by name, in Pools.
	Rooms []PeerRoom
	// HeardRooms are rooms of other domains that a peer of the own domain passes on.
	HeardRooms []HeardRoom
	// Endpoints are reports from a peer of the own domain.
	Endpoints []EndpointReport
	// Demands are the peer's limits in use.
	Demands []cwpolicy.LimitDemand
	// Moves are handovers of tickets.
	Moves []cwpolicy.TicketMove
	// Works is what a peer of the own region has at the endpoints.
	Works []EndpointWork
	// RoundTrip is the time that the exchange took; 0 if the peer called.
	RoundTrip time.Duration
}

// HeardRoom is the room of one pool in another domain.
type HeardRoom struct {
	// Pool is the pool's name.
	Pool string
	cwpolicy.DomainCapacity
}

// PeerRoom is the room of one pool at a peer.
type PeerRoom struct {
	// Pool is the pool's name.
	Pool string
	// Room is what it can take.
	Room cwpolicy.PoolCapacity
}

func (e PeerHeard) apply(s *state, now time.Time) {
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
	for _, other := range e.Others {
		if s.membership.OnGossip(other, now) {
			s.membersDirty = true
		}
	}
	for _, move := range e.Moves {
		s.membership.OnTicketMove(move.From, move.To)
	}
	s.demands[e.Member.PeerAddress] = e.Demands
	if len(e.Works) > 0 || len(s.works[e.Member.PeerAddress].Works) > 0 {
		s.works[e.Member.PeerAddress] = PeerWork{Works: e.Works, At: now}
		s.worksDirty = true
	}
	if e.Member.Domain == s.self.Domain {
		for _, report := range e.Endpoints {
			EndpointHeard{report}.apply(s, now)
		}
		for i := range e.HeardRooms {
			s.setHeardRoom(&e.HeardRooms[i])
		}
		return
	}
	s.setRooms(e, now)
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
