package cwpolicy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MemberContactTimeout is how long after its last response a member stays usable
	// once contact has failed.
	MemberContactTimeout = 3 * time.Second
	// MemberRetention is how long an unlisted member or endpoint is kept after its last
	// response.
	MemberRetention = 10 * time.Minute
)

// Membership is the set of other entry instances. It is built from the platform's
// list and from the members' reports of themselves and of each other. A member is
// removed only if it is missing from the list and has also been out of contact.
type Membership struct {
	selfAddress string
	members     map[string]*Member
	ticketMoves map[uint64]uint64
}

// NewMembership returns an empty membership for the instance with the peer address
// selfAddress.
func NewMembership(selfAddress string) *Membership {
	return &Membership{selfAddress: selfAddress, members: make(map[string]*Member), ticketMoves: make(map[uint64]uint64)}
}

// ListedInstance is one entry of the platform's list of entry instances.
type ListedInstance struct {
	// PeerAddress is the host and port of the peer interface.
	PeerAddress string
	// CallerAddress is the host and port of the caller interface.
	CallerAddress string
	// Region and Domain are the location of the instance.
	Region, Domain string
	// Size is the relative capacity of the instance.
	Size float64
	// IsLeaving is set if the platform is about to remove the instance.
	IsLeaving bool
}

// OnPlatformList applies the platform's list. The list may be outdated, so it can
// add a member or mark one as leaving, but cannot clear the leaving mark. Members
// missing from it are kept until their retention ends. An empty list is ignored.
func (m *Membership) OnPlatformList(list []ListedInstance, now time.Time) {
	if len(list) == 0 {
		return
	}
	for _, member := range m.members {
		member.IsListed = false
	}
	for _, instance := range list {
		if instance.PeerAddress == m.selfAddress {
			continue
		}
		m.onListedInstance(instance, now)
	}
	m.removeExpired(now)
}

func (m *Membership) onListedInstance(instance ListedInstance, now time.Time) {
	member := m.findOrAdd(instance.PeerAddress, now)
	member.IsListed = true
	member.CallerAddress, member.Region, member.Domain = instance.CallerAddress, instance.Region, instance.Domain
	if instance.Size > 0 {
		member.Size = instance.Size
	}
	if instance.IsLeaving {
		member.MarkLeaving(0)
	}
}

func (m *Membership) findOrAdd(address string, now time.Time) *Member {
	member := m.members[address]
	if member == nil {
		member = &Member{PeerAddress: address, Size: 1}
		member.LastContactAt = now
		m.members[address] = member
	}
	return member
}

// OnSelfReport applies a member's report of itself. It returns false, and ignores the
// report, if it is from an older incarnation or about this instance.
func (m *Membership) OnSelfReport(report Member, now time.Time) bool {
	if report.PeerAddress == m.selfAddress {
		return false
	}
	member := m.findOrAdd(report.PeerAddress, now)
	if !member.RecordContact(report.Incarnation, report.IsLeaving, now) {
		return false
	}
	member.CallerAddress, member.Region, member.Domain = report.CallerAddress, report.Region, report.Domain
	member.Size, member.Load, member.RequestsPerSecond = report.Size, report.Load, report.RequestsPerSecond
	member.IsStoreUnreachable, member.IsCutOff = report.IsStoreUnreachable, report.IsCutOff
	return true
}

// OnGossip applies a member's report of another member: that it exists, that it has
// a newer incarnation, or that an incarnation is leaving. Such a report is not evidence
// that the other member is alive. OnGossip returns true if the liveness changed.
func (m *Membership) OnGossip(report Member, now time.Time) bool {
	if report.PeerAddress == m.selfAddress {
		return false
	}
	before := m.Liveness(report.PeerAddress)
	member := m.members[report.PeerAddress]
	if member == nil {
		member = m.findOrAdd(report.PeerAddress, now)
		member.CallerAddress, member.Region, member.Domain = report.CallerAddress, report.Region, report.Domain
		member.Size = report.Size
	}
	if report.Incarnation > member.Incarnation {
		member.Incarnation, member.IsLeaving = report.Incarnation, report.IsLeaving
	}
	if report.IsLeaving {
		member.MarkLeaving(report.Incarnation)
	}
	return member.Liveness != before
}

// Liveness returns the liveness of a member, or the zero value if it is unknown.
func (m *Membership) Liveness(address string) Liveness {
	if member := m.members[address]; member != nil {
		return member.Liveness
	}
	return Liveness{}
}

// IsCutOff reports whether a member has reported that it reaches no endpoint.
func (m *Membership) IsCutOff(address string) bool {
	member := m.members[address]
	return member != nil && member.IsCutOff
}

// OnContactFailure records that contact with a member failed.
func (m *Membership) OnContactFailure(address string, now time.Time) {
	if member := m.members[address]; member != nil {
		member.RecordContactFailure(now)
	}
}

// OnTicketMove records that the tickets of one incarnation are now owned by another.
func (m *Membership) OnTicketMove(from, to uint64) {
	if from != to {
		m.ticketMoves[from] = to
	}
}

// TicketMoves returns the recorded ticket moves, ordered by source.
func (m *Membership) TicketMoves() []TicketMove {
	moves := make([]TicketMove, 0, len(m.ticketMoves))
	for from, to := range m.ticketMoves {
		moves = append(moves, TicketMove{From: from, To: to})
	}
	slices.SortFunc(moves, func(a, b TicketMove) int { return cmp.Compare(a.From, b.From) })
	return moves
}

// All returns all members, ordered by peer address.
func (m *Membership) All() []Member {
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.PeerAddress, b.PeerAddress) })
	return all
}

func (m *Membership) removeExpired(now time.Time) {
	for address, member := range m.members {
		if member.IsRemovable(now, MemberRetention) {
			delete(m.members, address)
		}
	}
}
