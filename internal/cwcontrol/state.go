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
	self       cwpolicy.Member
	order      cwpolicy.ConfigTracker
	config     *cwconfig.State
	membership *cwpolicy.Membership
	endpoints  map[string]*EndpointRecord
	ordered    []*EndpointRecord
	rooms      map[string][]cwpolicy.DomainCapacity
	demands    map[string][]cwpolicy.LimitDemand
	works      map[string]PeerWork
	generation uint64
	asked      bool
	barriers   []barrier

	// membersDirty is set by changes that matter at once, membersStale by fresh
	// loads and life signs, which may wait a little.
	membersDirty   bool
	membersStale   bool
	membersAt      time.Time
	endpointsDirty bool
	roomsDirty     bool
	worksDirty     bool
	last           *Snapshot
}

func newState(self cwpolicy.Member) *state {
	return &state{
		self:           self,
		membership:     cwpolicy.NewMembership(self.PeerAddress),
		endpoints:      make(map[string]*EndpointRecord),
		rooms:          make(map[string][]cwpolicy.DomainCapacity),
		demands:        make(map[string][]cwpolicy.LimitDemand),
		works:          make(map[string]PeerWork),
		membersDirty:   true,
		endpointsDirty: true,
		roomsDirty:     true,
		last:           &Snapshot{},
	}
}

func (s *state) endpointAt(address string, now time.Time) *EndpointRecord {
	r := s.endpoints[address]
	if r == nil {
		r = &EndpointRecord{Address: address}
		r.LastContactAt = now
		s.endpoints[address] = r
		s.ordered = append(s.ordered, r)
		s.orderEndpoints()
	}
	return r
}

// touch marks a record as changed in the generation that is being built.
func (s *state) touch(r *EndpointRecord) {
	r.Generation = s.generation + 1
	s.endpointsDirty = true
}

func (s *state) forgetEndpoints(now time.Time) {
	for address, r := range s.endpoints {
		if r.IsRemovable(now, cwpolicy.MemberRetention) {
			delete(s.endpoints, address)
			s.endpointsDirty = true
		}
	}
	s.ordered = slices.DeleteFunc(s.ordered, func(r *EndpointRecord) bool { return s.endpoints[r.Address] == nil })
}

func (s *state) orderEndpoints() {
	slices.SortFunc(s.ordered, func(a, b *EndpointRecord) int { return cmp.Compare(a.Address, b.Address) })
}

// setRooms replaces what is known of the peer's domain. Only the instances of a
// domain speak for it, and the latest word counts.
func (s *state) setRooms(e PeerHeard, now time.Time) {
	for pool, rooms := range s.rooms {
		s.rooms[pool] = slices.DeleteFunc(slices.Clone(rooms), func(r cwpolicy.DomainCapacity) bool {
			return r.Domain == e.Member.Domain
		})
	}
	for _, r := range e.Rooms {
		s.rooms[r.Pool] = append(s.rooms[r.Pool], cwpolicy.DomainCapacity{
			PoolCapacity: r.Room,
			Domain:       e.Member.Domain,
			Region:       e.Member.Region,
			ReportedAt:   now,
			RoundTrip:    e.RoundTrip,
		})
	}
	s.roomsDirty = true
}

// setHeardRoom takes in what a peer of the own domain heard of another domain, if it
// is newer than what is known.
func (s *state) setHeardRoom(h *HeardRoom) {
	if h.Domain == s.self.Domain {
		return
	}
	rooms := s.rooms[h.Pool]
	for i := range rooms {
		if rooms[i].Domain != h.Domain {
			continue
		}
		if h.ReportedAt.After(rooms[i].ReportedAt.Add(heardRoomGain)) {
			rooms = slices.Clone(rooms)
			rooms[i] = h.DomainCapacity
			s.rooms[h.Pool], s.roomsDirty = rooms, true
		}
		return
	}
	s.rooms[h.Pool] = append(slices.Clone(rooms), h.DomainCapacity)
	s.roomsDirty = true
}

// heardRoomGain is how much newer a room must be to replace the one that is known:
// ages lose precision on their way.
const heardRoomGain = 50 * time.Millisecond

// publish builds the next snapshot and shares the parts that did not change.
func (s *state) publish(now time.Time) *Snapshot {
	s.generation++
	next := *s.last
	next.Generation = s.generation
	next.Config, next.Order, next.Self = s.config, s.order, s.self
	next.Ready = s.order.IsConfirmed() && s.asked && !s.self.IsLeaving
	stale := s.membersStale && now.Sub(s.membersAt) >= membersGap
	if s.membersDirty || stale || len(s.barriers) > 0 {
		s.publishMembers(&next, now)
	}
	if s.endpointsDirty {
		next.Endpoints = s.endpointList()
	}
	if s.roomsDirty {
		next.Rooms = make(RoomTable, len(s.rooms))
		for pool, rooms := range s.rooms {
			next.Rooms[pool] = slices.Clone(rooms)
		}
	}
	if s.worksDirty {
		next.Works = maps.Clone(s.works)
	}
	s.endpointsDirty, s.roomsDirty, s.worksDirty = false, false, false
	s.last = &next
	return &next
}

// membersGap is the least time between two lists of members that differ in life
// signs only.
const membersGap = 300 * time.Millisecond

func (s *state) publishMembers(next *Snapshot, now time.Time) {
	s.membersDirty, s.membersStale, s.membersAt = false, false, now
	next.Members = s.membership.All()
	next.Moves = s.membership.TicketMoves()
	next.Demands, next.AllHeard = make(DemandTable), true
	for i := range next.Members {
		m := &next.Members[i]
		usable := m.IsUsable(now, cwpolicy.MemberContactTimeout)
		if !usable && !m.IsLeaving {
			next.AllHeard = false
		}
		if !usable {
			continue
		}
		for _, d := range s.demands[m.PeerAddress] {
			next.Demands[d.Key] += d.RequestsPerSecond
		}
	}
}

func (s *state) endpointList() []EndpointRecord {
	list := make([]EndpointRecord, len(s.ordered))
	for i, r := range s.ordered {
		list[i] = *r
	}
	return list
}
