package cwpeer

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
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
)

// membersFor returns the members to send to a peer in the domain:
//   - every leaving member whose last contact is within the retention of members;
//   - the members of the peer's domain, because the peer may have no other way to
//     discover them;
//   - the members of this instance's domain;
//   - a few usable members of other domains. Without them, two domains that contain no
//     seed would never discover each other.
func membersFor(s *cwcontrol.Snapshot, domain string, now time.Time) []*cwpolicy.Member {
	var members, thirdDomain []*cwpolicy.Member
	for i := range s.Members {
		m := &s.Members[i]
		switch {
		case m.IsLeaving && now.Sub(m.LastContactAt) < cwpolicy.MemberRetention, m.Domain == s.Self.Domain, m.Domain == domain:
			members = append(members, m)
		case m.Incarnation != 0 && !m.IsLeaving && now.Sub(m.LastContactAt) < maxThirdDomainMemberAge && m.IsUsable(now, cwpolicy.MemberContactTimeout):
			thirdDomain = append(thirdDomain, m)
		}
	}
	rand.Shuffle(len(thirdDomain), func(i, j int) { thirdDomain[i], thirdDomain[j] = thirdDomain[j], thirdDomain[i] })
	return append(members, thirdDomain[:min(len(thirdDomain), maxThirdDomainMembers)]...)
}
