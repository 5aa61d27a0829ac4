package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	// maxThirdDomainMembers is the maximum number of members in one message that are
	// neither of the sender's nor of the receiver's domain. With a few messages per second,
	// an instance still discovers every domain within seconds.
	maxThirdDomainMembers = 4
	// maxThirdDomainMemberAge is the age of the last contact above which such a member is
	// not sent. It is shorter than the time after which a member without contact becomes
	// unusable, so that few messages contain a member that has stopped.
	maxThirdDomainMemberAge = 2 * time.Second
	// maxKnownPeerMembers is the maximum number of members of the two domains in one message to a
	// peer that has been told them before. An instance of a large domain exchanges with 16 peers a
	// second, and so hears of each of 100 members within the first seconds.
	maxKnownPeerMembers = 24
)

// Gossip selects the members to send to a peer in the domain:
//   - every leaving member whose last contact is within the retention of members;
//   - the members of the peer's domain, because the peer may have no other way to
//     discover them, and of this instance's domain; a random part of them if they are many
//     and the peer is known;
//   - a few usable members of other domains. Without them, two domains that contain no
//     seed would never discover each other.
//
// A peer is known if an exchange with its incarnation has taken place.
func Gossip(members []Member, ownDomain, peerDomain string, isPeerKnown bool, now time.Time) []*Member {
	var leaving, near, thirdDomain []*Member
	for i := range members {
		m := &members[i]
		switch {
		case m.IsLeaving && now.Sub(m.LastContactAt) < MemberRetention:
			leaving = append(leaving, m)
		case m.Domain == ownDomain, m.Domain == peerDomain:
			near = append(near, m)
		case m.Incarnation != 0 && !m.IsLeaving && now.Sub(m.LastContactAt) < maxThirdDomainMemberAge && m.IsUsable(now, MemberContactTimeout):
			thirdDomain = append(thirdDomain, m)
		}
	}
	if isPeerKnown {
		near = sample(near, maxKnownPeerMembers)
	}
	return append(append(leaving, near...), sample(thirdDomain, maxThirdDomainMembers)...)
}

// sample returns limit of the members, chosen at random, or all if they are fewer.
func sample(members []*Member, limit int) []*Member {
	if len(members) <= limit {
		return members
	}
	for i := range limit {
		j := i + rand.IntN(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:limit]
}

// IsKnown reports whether an exchange with an incarnation of a peer has taken place; any one if the
// incarnation is 0.
func IsKnown(members []Member, address string, incarnation uint64) bool {
	for i := range members {
		if m := &members[i]; m.PeerAddress == address {
			return m.Incarnation != 0 && (incarnation == 0 || incarnation == m.Incarnation)
		}
	}
	return false
}
