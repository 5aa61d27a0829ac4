package cwcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// state is the control state. Only the control goroutine accesses it.
type state struct {
	self            cwpolicy.Member
	configTracker   cwpolicy.ConfigTracker
	config          *cwconfig.State
	membership      *cwpolicy.Membership
	endpoints       map[string]*EndpointRecord
	sortedEndpoints []*EndpointRecord
	capacities      map[string][]cwpolicy.DomainCapacity
	// latestRoundTrips are the durations of the latest exchanges, by domain.
	latestRoundTrips map[string]time.Duration
	demands          map[string][]cwpolicy.LimitDemand
	peerWork         map[string]PeerWork
	generation       uint64
	hasExchanged     bool
	barriers         []barrier

	// membersDirty is set by changes that must be in the next snapshot. membersStale
	// is set by new loads and contact times, which may be published later.
	membersDirty       bool
	membersStale       bool
	membersPublishedAt time.Time
	endpointsDirty     bool
	capacitiesDirty    bool
	peerWorkDirty      bool
	lastSnapshot       *Snapshot
}

func newState(self cwpolicy.Member) *state {
	return &state{
		self:             self,
		membership:       cwpolicy.NewMembership(self.PeerAddress),
		endpoints:        make(map[string]*EndpointRecord),
		capacities:       make(map[string][]cwpolicy.DomainCapacity),
		latestRoundTrips: make(map[string]time.Duration),
		demands:          make(map[string][]cwpolicy.LimitDemand),
		peerWork:         make(map[string]PeerWork),
		membersDirty:     true,
		endpointsDirty:   true,
		capacitiesDirty:  true,
		lastSnapshot:     &Snapshot{},
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

// markChanged marks a record as changed in the next snapshot.
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

// setCapacities replaces the capacities of the peer's domain. Each instance of a
// domain reports the capacities of the whole domain, so the latest report is used. One that is cut
// off from the endpoints does not know them.
func (s *state) setCapacities(e PeerReported, now time.Time) {
	if e.Member.IsCutOff {
		s.recordRoundTrip(e.Member.Domain, e.RoundTrip)
		return
	}
	for pool, capacities := range s.capacities {
		s.capacities[pool] = slices.DeleteFunc(slices.Clone(capacities), func(c cwpolicy.DomainCapacity) bool {
			return c.Domain == e.Member.Domain
		})
	}
	roundTrip := s.recordRoundTrip(e.Member.Domain, e.RoundTrip)
	for _, c := range e.Capacities {
		s.capacities[c.Pool] = append(s.capacities[c.Pool], cwpolicy.DomainCapacity{
			PoolCapacity: c.Capacity,
			Domain:       e.Member.Domain,
			Region:       e.Member.Region,
			ReportedAt:   now,
			RoundTrip:    roundTrip,
		})
	}
	s.capacitiesDirty = true
}

// recordRoundTrip records the duration of an exchange with a domain and returns the shorter one
// of the last two: a peer that was silent during one of them is not farther away.
func (s *state) recordRoundTrip(domain string, latest time.Duration) time.Duration {
	previous := s.latestRoundTrips[domain]
	s.latestRoundTrips[domain] = latest
	if previous == 0 {
		return latest
	}
	return min(previous, latest)
}

// setRelayedCapacity stores the capacity of another domain that a peer of this
// instance's domain relayed, if it is newer than the stored one.
func (s *state) setRelayedCapacity(relayed *RelayedCapacity) {
	if relayed.Domain == s.self.Domain {
		return
	}
	capacities := s.capacities[relayed.Pool]
	for i := range capacities {
		if capacities[i].Domain != relayed.Domain {
			continue
		}
		if relayed.ReportedAt.After(capacities[i].ReportedAt.Add(minRelayedCapacityGain)) {
			capacities = slices.Clone(capacities)
			capacities[i] = relayed.DomainCapacity
			s.capacities[relayed.Pool], s.capacitiesDirty = capacities, true
		}
		return
	}
	s.capacities[relayed.Pool] = append(slices.Clone(capacities), relayed.DomainCapacity)
	s.capacitiesDirty = true
}

// minRelayedCapacityGain is how much newer a relayed capacity must be to replace the
// stored one, because ages lose precision with each relay.
const minRelayedCapacityGain = 50 * time.Millisecond

// buildSnapshot returns the next snapshot. It shares the parts that did not change
// with the previous one.
func (s *state) buildSnapshot(now time.Time) *Snapshot {
	s.generation++
	next := *s.lastSnapshot
	next.Generation = s.generation
	next.Config, next.ConfigTracker, next.Self = s.config, s.configTracker, s.self
	next.IsReady = s.configTracker.IsConfirmed() && s.hasExchanged && !s.self.IsLeaving
	isRefreshDue := s.membersStale && now.Sub(s.membersPublishedAt) >= minMembersInterval
	if s.membersDirty || isRefreshDue || len(s.barriers) > 0 {
		s.buildMembers(&next, now)
	}
	if s.endpointsDirty {
		next.Endpoints = s.copyEndpoints()
	}
	if s.capacitiesDirty {
		next.Capacities = make(CapacityTable, len(s.capacities))
		for pool, capacities := range s.capacities {
			next.Capacities[pool] = slices.Clone(capacities)
		}
	}
	if s.peerWorkDirty {
		next.PeerWork = maps.Clone(s.peerWork)
	}
	s.endpointsDirty, s.capacitiesDirty, s.peerWorkDirty = false, false, false
	s.lastSnapshot = &next
	return &next
}

// minMembersInterval is the shortest time between two lists of members that differ
// only in loads and contact times.
const minMembersInterval = 300 * time.Millisecond

func (s *state) buildMembers(next *Snapshot, now time.Time) {
	s.membersDirty, s.membersStale, s.membersPublishedAt = false, false, now
	next.Members = s.membership.All()
	next.TicketMoves = s.membership.TicketMoves()
	next.Demands, next.AllMembersUsable = make(DemandTable), true
	next.MemberDemands = maps.Clone(s.demands)
	for i := range next.Members {
		m := &next.Members[i]
		isUsable := m.IsUsable(now, cwpolicy.MemberContactTimeout)
		if !isUsable && !m.IsLeaving {
			next.AllMembersUsable = false
		}
		if !isUsable {
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
