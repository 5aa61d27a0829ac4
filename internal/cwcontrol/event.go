package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// Event is something that changes the control state.
type Event interface {
	apply(s *state, now time.Time)
}

// ConfigFetched brings a configuration with its content.
type ConfigFetched struct {
	// State is the configuration.
	State *cwconfig.State
}

func (e ConfigFetched) apply(s *state, _ time.Time) {
	if s.order.Accept(e.State.Version) {
		s.config = e.State
	}
}

// ConfigSeen says which version the platform or a confirmed peer has.
type ConfigSeen struct {
	// Version is the one that was seen.
	Version cwconfig.Version
}

func (e ConfigSeen) apply(s *state, now time.Time) {
	s.order.Confirm(e.Version, now)
}

// EntriesListed brings the platform's list of entry instances.
type EntriesListed struct {
	// Entries is the list; it lags.
	Entries []cwplatform.Entry
}

func (e EntriesListed) apply(s *state, now time.Time) {
	list := make([]cwpolicy.Listing, 0, len(e.Entries))
	for _, entry := range e.Entries {
		list = append(list, cwpolicy.Listing{
			Address:       entry.PeerAddress,
			CallerAddress: entry.CallerAddress,
			Region:        entry.Region,
			Domain:        entry.Domain,
			Size:          entry.Size,
			Leaving:       entry.Leaving,
		})
	}
	s.membership.OnList(list, now)
	s.membersDirty = true
}

// EndpointsListed brings the platform's list of the domain's endpoints.
type EndpointsListed struct {
	// Endpoints is the list; it lags.
	Endpoints []cwplatform.EndpointEntry
}

func (e EndpointsListed) apply(s *state, now time.Time) {
	if len(e.Endpoints) == 0 {
		return
	}
	for _, r := range s.endpoints {
		r.Listed = false
	}
	for _, entry := range e.Endpoints {
		r := s.endpointAt(entry.Address, now)
		r.Listed = true
		r.Pool, r.Accelerators = entry.Pool, max(entry.Accelerators, 1)
		if entry.Leaving {
			r.MarkLeaving(0)
		}
		s.touch(r)
	}
	s.forgetEndpoints(now)
}

// EndpointHeard brings a load report.
type EndpointHeard struct {
	EndpointReport
}

func (e EndpointHeard) apply(s *state, now time.Time) {
	r := s.endpoints[e.Address]
	if r == nil {
		if e.Pool == "" {
			return
		}
		r = s.endpointAt(e.Address, e.Report.At)
		r.Pool, r.Accelerators = e.Pool, e.Accelerators
	}
	r.apply(e.EndpointReport, now)
	s.touch(r)
}

// EndpointFailed says that an endpoint could not be reached.
type EndpointFailed struct {
	// Address is the endpoint's host and port.
	Address string
}

func (e EndpointFailed) apply(s *state, now time.Time) {
	if r := s.endpoints[e.Address]; r != nil {
		r.Failed(now)
		s.touch(r)
	}
}

// PeerHeard brings what another instance says of itself and of others.
type PeerHeard struct {
	// Member is the peer.
	Member cwpolicy.Member
	// Others are members that the peer knows.
	Others []cwpolicy.Member
	// Rooms are the peer's pools, by name, in Pools.
	Rooms []PeerRoom
	// Endpoints are reports from a peer of the own domain.
	Endpoints []EndpointReport
	// Demands are the peer's limits in use.
	Demands []cwpolicy.LimitDemand
	// Moves are handovers of tickets.
	Moves []cwpolicy.Move
	// RoundTrip is the time that the exchange took; 0 if the peer called.
	RoundTrip time.Duration
}

// PeerRoom is the room of one pool at a peer.
type PeerRoom struct {
	// Pool is the pool's name.
	Pool string
	// Room is what it can take.
	Room cwpolicy.Room
}

func (e PeerHeard) apply(s *state, now time.Time) {
	before := s.membership.Presence(e.Member.Address)
	fresh := s.membership.OnHeard(e.Member, now)
	after := s.membership.Presence(e.Member.Address)
	s.membersStale = true
	if before.Incarnation != after.Incarnation || before.Leaving != after.Leaving || !before.FailedAt.IsZero() || len(e.Moves) > 0 {
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
		s.membership.OnMoved(move.From, move.To)
	}
	s.demands[e.Member.Address] = e.Demands
	if e.Member.Domain == s.self.Domain {
		for _, report := range e.Endpoints {
			EndpointHeard{report}.apply(s, now)
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
	s.membership.OnFailed(e.Address, now)
	s.membersDirty = true
}

// TicketsMoved says that the tickets of one incarnation went to another.
type TicketsMoved struct {
	cwpolicy.Move
}

func (e TicketsMoved) apply(s *state, _ time.Time) {
	s.membership.OnMoved(e.From, e.To)
	s.membersDirty = true
}

// RoundDone says that every known peer was asked once since the start.
type RoundDone struct{}

func (RoundDone) apply(s *state, _ time.Time) {
	s.asked = true
}

// SelfLoad brings this instance's own load.
type SelfLoad struct {
	// Load is the used share of the own capacity; Demand is requests per second.
	Load, Demand float64
}

func (e SelfLoad) apply(s *state, _ time.Time) {
	s.self.Load, s.self.Demand = e.Load, e.Demand
}

// SelfLeaving says that this instance shuts down.
type SelfLeaving struct{}

func (SelfLeaving) apply(s *state, _ time.Time) {
	s.self.Leaving = true
}

// barrier is closed once the snapshot that follows it is published.
type barrier chan struct{}

func (b barrier) apply(s *state, _ time.Time) {
	s.barriers = append(s.barriers, b)
}
