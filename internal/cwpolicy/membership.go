package cwpolicy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MemberContactTimeout is how long a member that failed to answer keeps its place.
	MemberContactTimeout = 3 * time.Second
	// MemberRetention is how long an unlisted, silent member is remembered.
	MemberRetention = 10 * time.Minute
)

// Membership is the set of other entry instances. The platform's list and the
// members themselves both feed it; neither alone can empty it.
type Membership struct {
	selfAddress string
	members     map[string]*Member
	ticketMoves map[uint64]uint64
}

// NewMembership returns an empty set for the instance with the peer address.
func NewMembership(self string) *Membership {
	return &Membership{selfAddress: self, members: make(map[string]*Member), ticketMoves: make(map[uint64]uint64)}
}

// ListedInstance is one entry of the platform's list of entry instances.
type ListedInstance struct {
	// PeerAddress is the host and port of the peer interface.
	PeerAddress string
	// CallerAddress is the host and port of the caller interface.
	CallerAddress string
	// Region and Domain say where the instance runs.
	Region, Domain string
	// Size is the relative capacity.
	Size float64
	// IsLeaving is set when the platform means to remove the instance.
	IsLeaving bool
}

// OnPlatformList takes in a list of the platform. The list lags, so it can add a member
// or mark one as leaving, but not bring a leaving one back; members that it no
// longer names stay until they are silent. An empty list changes nothing.
func (m *Membership) OnPlatformList(list []ListedInstance, now time.Time) {
	if len(list) == 0 {
		return
	}
	for _, member := range m.members {
		member.IsListed = false
	}
	for _, l := range list {
		if l.PeerAddress == m.selfAddress {
			continue
		}
		m.onListedInstance(l, now)
	}
	m.removeExpired(now)
}

func (m *Membership) onListedInstance(l ListedInstance, now time.Time) {
	member := m.findOrAdd(l.PeerAddress, now)
	member.IsListed = true
	member.CallerAddress, member.Region, member.Domain = l.CallerAddress, l.Region, l.Domain
	if l.Size > 0 {
		member.Size = l.Size
	}
	if l.IsLeaving {
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

// OnSelfReport takes in what a member says of itself. It returns false if the news is
// older than what is known.
func (m *Membership) OnSelfReport(news Member, now time.Time) bool {
	if news.PeerAddress == m.selfAddress {
		return false
	}
	member := m.findOrAdd(news.PeerAddress, now)
	if !member.RecordContact(news.Incarnation, news.IsLeaving, now) {
		return false
	}
	member.CallerAddress, member.Region, member.Domain = news.CallerAddress, news.Region, news.Domain
	member.Size, member.Load, member.RequestsPerSecond = news.Size, news.Load, news.RequestsPerSecond
	member.IsStoreUnreachable = news.IsStoreUnreachable
	return true
}

// OnGossip takes in what one member says of another: that it exists, and that
// an incarnation leaves. It proves no life. It returns true if that was news.
func (m *Membership) OnGossip(news Member, now time.Time) bool {
	if news.PeerAddress == m.selfAddress {
		return false
	}
	before := m.Liveness(news.PeerAddress)
	member := m.members[news.PeerAddress]
	if member == nil {
		member = m.findOrAdd(news.PeerAddress, now)
		member.CallerAddress, member.Region, member.Domain = news.CallerAddress, news.Region, news.Domain
		member.Size = news.Size
	}
	if news.Incarnation > member.Incarnation {
		member.Incarnation, member.IsLeaving = news.Incarnation, news.IsLeaving
	}
	if news.IsLeaving {
		member.MarkLeaving(news.Incarnation)
	}
	return member.Liveness != before
}

// Liveness returns what is believed of a member's life, or the zero value.
func (m *Membership) Liveness(address string) Liveness {
	if member := m.members[address]; member != nil {
		return member.Liveness
	}
	return Liveness{}
}

// OnContactFailure records that contact with a member failed.
func (m *Membership) OnContactFailure(address string, now time.Time) {
	if member := m.members[address]; member != nil {
		member.RecordContactFailure(now)
	}
}

// OnTicketMove records that the tickets of one incarnation are now with another.
func (m *Membership) OnTicketMove(from, to uint64) {
	if from != to {
		m.ticketMoves[from] = to
	}
}

// TicketMoves returns the incarnations whose tickets were handed over, by source.
func (m *Membership) TicketMoves() []TicketMove {
	moves := make([]TicketMove, 0, len(m.ticketMoves))
	for from, to := range m.ticketMoves {
		moves = append(moves, TicketMove{From: from, To: to})
	}
	slices.SortFunc(moves, func(a, b TicketMove) int { return cmp.Compare(a.From, b.From) })
	return moves
}

// All returns every member, ordered by address.
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
