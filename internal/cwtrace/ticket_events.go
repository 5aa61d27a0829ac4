package cwtrace

import (
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	traceService = "service"
	traceAccount = "account"
)

func ticketStatusName(status cwpolicy.TicketStatus) string {
	names := []string{"run", "join", "done", "elsewhere", "forged", "mismatch", "expired", "forgotten", "full", "givenUp"}
	return names[status]
}

func issueTicket(state *replayState, i *instanceState, s *Step, now time.Time) string {
	id := cwpolicy.TicketID{}
	copy(id[:], s.Ticket)
	encoded, ok := i.tickets.Issue(id, traceService, traceAccount, now)
	state.encodedTickets[s.Ticket] = encoded
	return fmt.Sprint(ok)
}

func beginTicketUse(state *replayState, i *instanceState, s *Step, now time.Time) string {
	status, use := i.tickets.Begin(state.encodedTickets[s.Ticket], traceService, traceAccount, now)
	if status == cwpolicy.TicketEnded {
		return ticketStatusName(status) + " " + string(use.Outcome)
	}
	return ticketStatusName(status)
}

func ticketID(s *Step) cwpolicy.TicketID {
	id := cwpolicy.TicketID{}
	copy(id[:], s.Ticket)
	return id
}

func checkMayDispatch(_ *replayState, i *instanceState, s *Step, now time.Time) string {
	if i.tickets.MayDispatch(ticketID(s), now) {
		return "sent"
	}
	return "held"
}

func endTicketUse(_ *replayState, i *instanceState, s *Step, _ time.Time) string {
	i.tickets.End(ticketID(s), cwanswer.Outcome(s.Outcome))
	return ""
}

func handOverTickets(state *replayState, i *instanceState, _ *Step, now time.Time) string {
	state.handovers[i.name] = i.tickets.HandOver(now)
	return ""
}

func takeOverTickets(state *replayState, i *instanceState, s *Step, _ time.Time) string {
	for _, h := range state.handovers[s.FromInstance] {
		if !i.tickets.TakeOver(h) {
			return "refused"
		}
	}
	return "adopted"
}
