package cwtrace

import (
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

func version(s *Step) cwconfig.Version {
	return cwconfig.Version{Number: s.Number, Hash: s.Hash}
}

func offerConfig(_ *world, i *instance, s *Step, _ time.Time) string {
	if i.order.Accept(version(s)) {
		return "accepted"
	}
	return "ignored"
}

func confirmConfig(_ *world, i *instance, s *Step, now time.Time) string {
	i.order.Confirm(version(s), now)
	return ""
}

func ready(_ *world, i *instance, _ *Step, _ time.Time) string {
	return fmt.Sprintf("%t %d", i.order.Ready(), i.order.Accepted().Number)
}

func fresh(_ *world, i *instance, _ *Step, now time.Time) string {
	return fmt.Sprint(i.order.FreshWithin(now, cwpolicy.OrderFreshness))
}

func list(_ *world, i *instance, s *Step, now time.Time) string {
	listings := make([]cwpolicy.Listing, 0, len(s.Members))
	for _, m := range s.Members {
		listings = append(listings, cwpolicy.Listing{Address: m, CallerAddress: m, Domain: s.Domain, Region: s.Region})
	}
	i.membership.OnList(listings, now)
	return fmt.Sprint(len(i.membership.All()))
}

func memberOf(s *Step) cwpolicy.Member {
	m := cwpolicy.Member{Address: s.Member, CallerAddress: s.Member, Domain: s.Domain, Region: s.Region, Size: 1}
	m.Incarnation, m.Leaving = s.Incarnation, s.Leaving
	return m
}

func heard(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnHeard(memberOf(s), now))
}

func gossip(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnGossip(memberOf(s), now))
}

func failed(_ *world, i *instance, s *Step, now time.Time) string {
	i.membership.OnFailed(s.Member, now)
	return ""
}

func usable(_ *world, i *instance, s *Step, now time.Time) string {
	p := i.membership.Presence(s.Member)
	return fmt.Sprint(p.Usable(now, cwpolicy.MemberSilence))
}

func moved(_ *world, i *instance, s *Step, _ time.Time) string {
	i.moves = append(i.moves, cwpolicy.Move{From: incarnationOf(s.From), To: incarnationOf(s.Member)})
	return ""
}

// owner names the member that owns the tickets of an instance. Members are heard
// with the incarnation that their name stands for.
func owner(_ *world, i *instance, s *Step, now time.Time) string {
	for _, m := range s.Members {
		member := cwpolicy.Member{Address: m}
		member.Incarnation = incarnationOf(m)
		i.membership.OnHeard(member, now)
	}
	found := cwpolicy.OwnerOf(i.membership.All(), i.moves, incarnationOf(s.From))
	if found == nil {
		return "nobody"
	}
	return found.Address
}

func reader(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(cwpolicy.IsReader(i.name, s.Domain, i.membership.All(), cwpolicy.ReadersPerDomain, now))
}
