package cwpolicy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MemberSilence is how long a member that failed to answer keeps its place.
	MemberSilence = 3 * time.Second
	// MemberForget is how long an unlisted, silent member is remembered.
	MemberForget = 10 * time.Minute
)

// Membership is the set of other entry instances. The platform's list and the
// members themselves both feed it; neither alone can empty it.
type Membership struct {
	self    string
	members map[string]*Member
	moved   map[uint64]uint64
}

// NewMembership returns an empty set for the instance with the peer address.
func NewMembership(self string) *Membership {
	return &Membership{self: self, members: make(map[string]*Member), moved: make(map[uint64]uint64)}
}

// Listing is one entry of the platform's list of entry instances.
type Listing struct {
	// Address is the host and port of the peer interface.
	Address string
	// CallerAddress is the host and port of the caller interface.
	CallerAddress string
	// Region and Domain say where the instance runs.
	Region, Domain string
	// Size is the relative capacity.
	Size float64
	// Leaving is set when the platform means to remove the instance.
	Leaving bool
}

// OnList takes in a list of the platform. The list lags, so it can add a member
// or mark one as leaving, but not bring a leaving one back; members that it no
// longer names stay until they are silent. An empty list changes nothing.
func (m *Membership) OnList(list []Listing, now time.Time) {
	if len(list) == 0 {
		return
	}
	for _, member := range m.members {
		member.Listed = false
	}
	for _, l := range list {
		if l.Address == m.self {
			continue
		}
		m.onListing(l, now)
	}
	m.forget(now)
}

func (m *Membership) onListing(l Listing, now time.Time) {
	member := m.at(l.Address, now)
	member.Listed = true
	member.CallerAddress, member.Region, member.Domain = l.CallerAddress, l.Region, l.Domain
	if l.Size > 0 {
		member.Size = l.Size
	}
	if l.Leaving {
		member.MarkLeaving(0)
	}
}

func (m *Membership) at(address string, now time.Time) *Member {
	member := m.members[address]
	if member == nil {
		member = &Member{Address: address, Size: 1}
		member.HeardAt = now
		m.members[address] = member
	}
	return member
}

// OnHeard takes in what a member says of itself. It returns false if the news is
// older than what is known.
func (m *Membership) OnHeard(news Member, now time.Time) bool {
	if news.Address == m.self {
		return false
	}
	member := m.at(news.Address, now)
	if !member.Heard(news.Incarnation, news.Leaving, now) {
		return false
	}
	member.CallerAddress, member.Region, member.Domain = news.CallerAddress, news.Region, news.Domain
	member.Size, member.Load, member.Demand = news.Size, news.Load, news.Demand
	member.StoreAway = news.StoreAway
	return true
}

// OnGossip takes in what one member says of another: that it exists, and that
// an incarnation leaves. It proves no life. It returns true if that was news.
func (m *Membership) OnGossip(news Member, now time.Time) bool {
	if news.Address == m.self {
		return false
	}
	before := m.Presence(news.Address)
	member := m.members[news.Address]
	if member == nil {
		member = m.at(news.Address, now)
		member.CallerAddress, member.Region, member.Domain = news.CallerAddress, news.Region, news.Domain
		member.Size = news.Size
	}
	if news.Incarnation > member.Incarnation {
		member.Incarnation, member.Leaving = news.Incarnation, news.Leaving
	}
	if news.Leaving {
		member.MarkLeaving(news.Incarnation)
	}
	return member.Presence != before
}

// Presence returns what is believed of a member's life, or the zero value.
func (m *Membership) Presence(address string) Presence {
	if member := m.members[address]; member != nil {
		return member.Presence
	}
	return Presence{}
}

// OnFailed records that contact with a member failed.
func (m *Membership) OnFailed(address string, now time.Time) {
	if member := m.members[address]; member != nil {
		member.Failed(now)
	}
}

// OnMoved records that the tickets of one incarnation are now with another.
func (m *Membership) OnMoved(from, to uint64) {
	if from != to {
		m.moved[from] = to
	}
}

// Moves returns the incarnations whose tickets were handed over, by source.
func (m *Membership) Moves() []Move {
	moves := make([]Move, 0, len(m.moved))
	for from, to := range m.moved {
		moves = append(moves, Move{From: from, To: to})
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.From, b.From) })
	return moves
}

// All returns every member, ordered by address.
func (m *Membership) All() []Member {
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

func (m *Membership) forget(now time.Time) {
	for address, member := range m.members {
		if member.Forgettable(now, MemberForget) {
			delete(m.members, address)
		}
	}
}
