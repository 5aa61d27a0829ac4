package cwpeer

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// maxThirdDomainMembers bounds the members of third domains that one message names. With
	// some messages a second, every domain is known within seconds.
	maxThirdDomainMembers = 4
	// maxThirdDomainMemberAge is how lately such a member must have been heard of. It is below the
	// time after which a silent one is left out, so that few messages tell of one that is
	// gone.
	maxThirdDomainMemberAge = 2 * time.Second
)

// membersFor returns the members that a peer in the domain is told of. A leaving member
// is news to all; a live one of the peer's domain is news to a peer that may know no
// other way to it, and those of the own domain to all. A few of other domains are
// named too: two domains in which no seed runs would never meet otherwise.
func membersFor(s *cwcontrol.Snapshot, domain string, now time.Time) []*cwpolicy.Member {
	var list, strangers []*cwpolicy.Member
	for i := range s.Members {
		m := &s.Members[i]
		switch {
		case m.IsLeaving && now.Sub(m.LastContactAt) < cwpolicy.MemberRetention, m.Domain == s.Self.Domain, m.Domain == domain:
			list = append(list, m)
		case m.Incarnation != 0 && !m.IsLeaving && now.Sub(m.LastContactAt) < maxThirdDomainMemberAge && m.IsUsable(now, cwpolicy.MemberContactTimeout):
			strangers = append(strangers, m)
		}
	}
	rand.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	return append(list, strangers[:min(len(strangers), maxThirdDomainMembers)]...)
}
