package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// PeerReported is posted with the state that a peer sends in an exchange.
type PeerReported struct {
	// Member is the peer.
	Member cwpolicy.Member
	// KnownMembers are the other members that the peer reports.
	KnownMembers []cwpolicy.Member
	// Capacities are those of the pools in the peer's domain. They are ignored from a
	// peer of this instance's domain.
	Capacities []PeerCapacity
	// RelayedCapacities are those of other domains. They are used only from a peer of
	// this instance's domain.
	RelayedCapacities []RelayedCapacity
	// Endpoints are the reports of endpoints. They are used only from a peer of this
	// instance's domain.
	Endpoints []EndpointReport
	// Demands are the request rates at the peer for the limits in use.
	Demands []cwpolicy.LimitDemand
	// TicketMoves are the handovers of tickets that the peer reports.
	TicketMoves []cwpolicy.TicketMove
	// EndpointWork is the work in progress of a peer of this instance's region.
	EndpointWork []EndpointWork
	// RoundTrip is the duration of the exchange. If the peer made the call, it is that
	// of an earlier exchange with the peer's domain, or 0.
	RoundTrip time.Duration
}

// RelayedCapacity is the capacity of one pool in another domain.
type RelayedCapacity struct {
	// Pool is the name of the pool.
	Pool string
	cwpolicy.DomainCapacity
}

// PeerCapacity is the capacity of one pool in the domain of a peer.
type PeerCapacity struct {
	// Pool is the name of the pool.
	Pool string
	// Capacity is the capacity of the pool.
	Capacity cwpolicy.PoolCapacity
}

func (e PeerReported) apply(s *state, now time.Time) {
	before := s.membership.Liveness(e.Member.PeerAddress)
	wasCutOff := s.membership.IsCutOff(e.Member.PeerAddress)
	isAccepted := s.membership.OnSelfReport(e.Member, now)
	after := s.membership.Liveness(e.Member.PeerAddress)
	s.membersStale = true
	// What a cut-off member reports of endpoints is read together with its mark.
	if wasCutOff != s.membership.IsCutOff(e.Member.PeerAddress) || before.Incarnation != after.Incarnation || before.IsLeaving != after.IsLeaving || !before.ContactFailedAt.IsZero() || len(e.TicketMoves) > 0 {
		s.membersDirty = true
	}
	if !isAccepted {
		return
	}
	for _, other := range e.KnownMembers {
		if s.membership.OnGossip(other, now) {
			s.membersDirty = true
		}
	}
	for _, move := range e.TicketMoves {
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

// PeerFailed is posted when an instance could not be reached.
type PeerFailed struct {
	// Address is the peer's host and port.
	Address string
}

func (e PeerFailed) apply(s *state, now time.Time) {
	s.membership.OnContactFailure(e.Address, now)
	s.membersDirty = true
}

// TicketsMoved is posted when the tickets of one incarnation were handed over to
// another.
type TicketsMoved struct {
	cwpolicy.TicketMove
}

func (e TicketsMoved) apply(s *state, _ time.Time) {
	s.membership.OnTicketMove(e.From, e.To)
	s.membersDirty = true
}
