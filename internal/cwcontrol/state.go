package cwcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// state is owned by the control goroutine.
type state struct {
	self            cwpolicy.Member
	configTracker   cwpolicy.ConfigTracker
	config          *cwconfig.State
	membership      *cwpolicy.Membership
	endpoints       map[string]*EndpointRecord
	sortedEndpoints []*EndpointRecord
	capacities      map[string][]cwpolicy.DomainCapacity
	demands         map[string][]cwpolicy.LimitDemand
	peerWork        map[string]PeerWork
	generation      uint64
	hasExchanged    bool
	barriers        []barrier

	// membersDirty is set by changes that matter at once, membersStale by fresh
	// loads and life signs, which may wait a little.
	membersDirty       bool
	membersStale       bool
	membersPublishedAt time.Time
	endpointsDirty     bool
	roomsDirty         bool
	peerWorkDirty      bool
	lastSnapshot       *Snapshot
}

func newState(self cwpolicy.Member) *state {
	return &state{
		self:           self,
		membership:     cwpolicy.NewMembership(self.PeerAddress),
		endpoints:      make(map[string]*EndpointRecord),
		capacities:     make(map[string][]cwpolicy.DomainCapacity),
		demands:        make(map[string][]cwpolicy.LimitDemand),
		peerWork:       make(map[string]PeerWork),
		membersDirty:   true,
		endpointsDirty: true,
		roomsDirty:     true,
		lastSnapshot:   &Snapshot{},
	}
}

func (s *state) ensureEndpoint(address string, now time.Time) *EndpointRecord {
	r := s.endpoints[address]
	if r == nil {
		r = &EndpointRecord{Address: address}
		r.LastContactAt = now
		s.endpoints[address] = r
		s.sortedEndpoints = append(s.sortedEndpoints, r)
		s.sortEndpoints()
	}
	return r
}

// markChanged marks a record as changed in the generation that is being built.
func (s *state) markChanged(r *EndpointRecord) {
	r.Generation = s.generation + 1
	s.endpointsDirty = true
}

func (s *state) removeExpiredEndpoints(now time.Time) {
	for address, r := range s.endpoints {
		if r.IsRemovable(now, cwpolicy.MemberRetention) {
			delete(s.endpoints, address)
			s.endpointsDirty = true
		}
	}
	s.sortedEndpoints = slices.DeleteFunc(s.sortedEndpoints, func(r *EndpointRecord) bool { return s.endpoints[r.Address] == nil })
}

func (s *state) sortEndpoints() {
	slices.SortFunc(s.sortedEndpoints, func(a, b *EndpointRecord) int { return cmp.Compare(a.Address, b.Address) })
}

// setCapacities replaces what is known of the peer's domain. Only the instances of a
// domain speak for it, and the latest word counts.
func (s *state) setCapacities(e PeerReported, now time.Time) {
	for pool, rooms := range s.capacities {
		s.capacities[pool] = slices.DeleteFunc(slices.Clone(rooms), func(r cwpolicy.DomainCapacity) bool {
			return r.Domain == e.Member.Domain
		})
	}
	for _, r := range e.Capacities {
		s.capacities[r.Pool] = append(s.capacities[r.Pool], cwpolicy.DomainCapacity{
			PoolCapacity: r.Capacity,
			Domain:       e.Member.Domain,
			Region:       e.Member.Region,
			ReportedAt:   now,
			RoundTrip:    e.RoundTrip,
		})
	}
	s.roomsDirty = true
}

// setRelayedCapacity takes in what a peer of the own domain heard of another domain, if it
// is newer than what is known.
func (s *state) setRelayedCapacity(h *RelayedCapacity) {
	if h.Domain == s.self.Domain {
		return
	}
	rooms := s.capacities[h.Pool]
	for i := range rooms {
		if rooms[i].Domain != h.Domain {
			continue
		}
		if h.ReportedAt.After(rooms[i].ReportedAt.Add(minRelayedCapacityGain)) {
			rooms = slices.Clone(rooms)
			rooms[i] = h.DomainCapacity
			s.capacities[h.Pool], s.roomsDirty = rooms, true
		}
		return
	}
	s.capacities[h.Pool] = append(slices.Clone(rooms), h.DomainCapacity)
	s.roomsDirty = true
}

// minRelayedCapacityGain is how much newer a room must be to replace the one that is known:
// ages lose precision on their way.
const minRelayedCapacityGain = 50 * time.Millisecond

// buildSnapshot builds the next snapshot and shares the parts that did not change.
func (s *state) buildSnapshot(now time.Time) *Snapshot {
	s.generation++
	next := *s.lastSnapshot
	next.Generation = s.generation
	next.Config, next.ConfigTracker, next.Self = s.config, s.configTracker, s.self
	next.Ready = s.configTracker.IsConfirmed() && s.hasExchanged && !s.self.IsLeaving
	stale := s.membersStale && now.Sub(s.membersPublishedAt) >= minMembersInterval
	if s.membersDirty || stale || len(s.barriers) > 0 {
		s.buildMembers(&next, now)
	}
	if s.endpointsDirty {
		next.Endpoints = s.copyEndpoints()
	}
	if s.roomsDirty {
		next.Capacities = make(CapacityTable, len(s.capacities))
		for pool, rooms := range s.capacities {
			next.Capacities[pool] = slices.Clone(rooms)
		}
	}
	if s.peerWorkDirty {
		next.PeerWork = maps.Clone(s.peerWork)
	}
	s.endpointsDirty, s.roomsDirty, s.peerWorkDirty = false, false, false
	s.lastSnapshot = &next
	return &next
}

// minMembersInterval is the least time between two lists of members that differ in life
// signs only.
const minMembersInterval = 300 * time.Millisecond

func (s *state) buildMembers(next *Snapshot, now time.Time) {
	s.membersDirty, s.membersStale, s.membersPublishedAt = false, false, now
	next.Members = s.membership.All()
	next.TicketMoves = s.membership.TicketMoves()
	next.Demands, next.AllMembersUsable = make(DemandTable), true
	for i := range next.Members {
		m := &next.Members[i]
		usable := m.IsUsable(now, cwpolicy.MemberContactTimeout)
		if !usable && !m.IsLeaving {
			next.AllMembersUsable = false
		}
		if !usable {
			continue
		}
		for _, d := range s.demands[m.PeerAddress] {
			next.Demands[d.Key] += d.RequestsPerSecond
		}
	}
}

func (s *state) copyEndpoints() []EndpointRecord {
	list := make([]EndpointRecord, len(s.sortedEndpoints))
	for i, r := range s.sortedEndpoints {
		list[i] = *r
	}
	return list
}
