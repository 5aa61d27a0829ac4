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
	return fmt.Sprintf("%t %d", i.order.IsConfirmed(), i.order.Accepted().Number)
}

func fresh(_ *world, i *instance, _ *Step, now time.Time) string {
	return fmt.Sprint(i.order.IsConfirmedWithin(now, cwpolicy.OrderConfigMaxAge))
}

func list(_ *world, i *instance, s *Step, now time.Time) string {
	listings := make([]cwpolicy.ListedInstance, 0, len(s.Members))
	for _, m := range s.Members {
		listings = append(listings, cwpolicy.ListedInstance{PeerAddress: m, CallerAddress: m, Domain: s.Domain, Region: s.Region})
	}
	i.membership.OnPlatformList(listings, now)
	return fmt.Sprint(len(i.membership.All()))
}

func memberOf(s *Step) cwpolicy.Member {
	m := cwpolicy.Member{PeerAddress: s.Member, CallerAddress: s.Member, Domain: s.Domain, Region: s.Region, Size: 1}
	m.Incarnation, m.IsLeaving = s.Incarnation, s.Leaving
	return m
}

func heard(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnSelfReport(memberOf(s), now))
}

func gossip(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnGossip(memberOf(s), now))
}

func failed(_ *world, i *instance, s *Step, now time.Time) string {
	i.membership.OnContactFailure(s.Member, now)
	return ""
}

func usable(_ *world, i *instance, s *Step, now time.Time) string {
	p := i.membership.Liveness(s.Member)
	return fmt.Sprint(p.IsUsable(now, cwpolicy.MemberContactTimeout))
}

func moved(_ *world, i *instance, s *Step, _ time.Time) string {
	i.moves = append(i.moves, cwpolicy.TicketMove{From: incarnationOf(s.From), To: incarnationOf(s.Member)})
	return ""
}

// owner names the member that owns the tickets of an instance. Members are heard
// with the incarnation that their name stands for.
func owner(_ *world, i *instance, s *Step, now time.Time) string {
	for _, m := range s.Members {
		member := cwpolicy.Member{PeerAddress: m}
		member.Incarnation = incarnationOf(m)
		i.membership.OnSelfReport(member, now)
	}
	found := cwpolicy.FindTicketOwner(i.membership.All(), i.moves, incarnationOf(s.From))
	if found == nil {
		return "nobody"
	}
	return found.PeerAddress
}

func reader(_ *world, i *instance, s *Step, now time.Time) string {
	return fmt.Sprint(cwpolicy.IsReader(i.name, s.Domain, i.membership.All(), cwpolicy.PlatformReadersPerDomain, now))
}
