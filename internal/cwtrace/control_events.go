package cwtrace

import (
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

func configVersion(s *Step) cwconfig.Version {
	return cwconfig.Version{Number: s.ConfigNumber, Hash: s.ConfigHash}
}

func offerConfig(_ *replayState, i *instanceState, s *Step, _ time.Time) string {
	if i.configTracker.Accept(configVersion(s)) {
		return "accepted"
	}
	return "ignored"
}

func confirmConfig(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	i.configTracker.Confirm(configVersion(s), now)
	return ""
}

func checkConfigConfirmed(_ *replayState, i *instanceState, _ *Step, _ time.Time) string {
	return fmt.Sprintf("%t %d", i.configTracker.IsConfirmed(), i.configTracker.Accepted().Number)
}

func checkConfigFresh(_ *replayState, i *instanceState, _ *Step, now time.Time) string {
	return fmt.Sprint(i.configTracker.IsConfirmedWithin(now, cwpolicy.OrderConfigMaxAge))
}

func applyPlatformList(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	listed := make([]cwpolicy.ListedInstance, 0, len(s.Members))
	for _, m := range s.Members {
		listed = append(listed, cwpolicy.ListedInstance{PeerAddress: m, CallerAddress: m, Domain: s.Domain, Region: s.Region})
	}
	i.membership.OnPlatformList(listed, now)
	return fmt.Sprint(len(i.membership.All()))
}

func memberOf(s *Step) cwpolicy.Member {
	m := cwpolicy.Member{PeerAddress: s.Member, CallerAddress: s.Member, Domain: s.Domain, Region: s.Region, Size: 1}
	m.Incarnation, m.IsLeaving = s.Incarnation, s.IsLeaving
	return m
}

func applySelfReport(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnSelfReport(memberOf(s), now))
}

func applyGossip(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	return fmt.Sprint(i.membership.OnGossip(memberOf(s), now))
}

func recordContactFailure(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	i.membership.OnContactFailure(s.Member, now)
	return ""
}

func checkMemberUsable(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	p := i.membership.Liveness(s.Member)
	return fmt.Sprint(p.IsUsable(now, cwpolicy.MemberContactTimeout))
}

func recordTicketMove(_ *replayState, i *instanceState, s *Step, _ time.Time) string {
	i.ticketMoves = append(i.ticketMoves, cwpolicy.TicketMove{From: incarnationOf(s.FromInstance), To: incarnationOf(s.Member)})
	return ""
}

// findTicketOwner returns the address of the member that owns the tickets of an
// instance. It first applies a self-report of each listed member, with the
// incarnation derived from the member's name.
func findTicketOwner(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	for _, m := range s.Members {
		member := cwpolicy.Member{PeerAddress: m}
		member.Incarnation = incarnationOf(m)
		i.membership.OnSelfReport(member, now)
	}
	found := cwpolicy.FindTicketOwner(i.membership.All(), i.ticketMoves, incarnationOf(s.FromInstance))
	if found == nil {
		return "nobody"
	}
	return found.PeerAddress
}

func checkPlatformReader(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	return fmt.Sprint(cwpolicy.IsReader(i.name, s.Domain, i.membership.All(), cwpolicy.PlatformReadersPerDomain, now))
}
