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

func verdictName(v cwpolicy.TicketStatus) string {
	names := []string{"run", "join", "done", "elsewhere", "forged", "mismatch", "expired", "forgotten", "full", "givenUp"}
	return names[v]
}

func issue(w *world, i *instance, s *Step, now time.Time) string {
	id := cwpolicy.TicketID{}
	copy(id[:], s.Ticket)
	encoded, ok := i.book.Issue(id, traceService, traceAccount, now)
	w.tickets[s.Ticket] = encoded
	return fmt.Sprint(ok)
}

func request(w *world, i *instance, s *Step, now time.Time) string {
	verdict, use := i.book.Begin(w.tickets[s.Ticket], traceService, traceAccount, now)
	if verdict == cwpolicy.TicketEnded {
		return verdictName(verdict) + " " + string(use.Outcome)
	}
	return verdictName(verdict)
}

func ticketID(s *Step) cwpolicy.TicketID {
	id := cwpolicy.TicketID{}
	copy(id[:], s.Ticket)
	return id
}

func dispatch(_ *world, i *instance, s *Step, now time.Time) string {
	if i.book.MayDispatch(ticketID(s), now) {
		return "sent"
	}
	return "held"
}

func end(_ *world, i *instance, s *Step, _ time.Time) string {
	i.book.End(ticketID(s), cwanswer.Outcome(s.Outcome))
	return ""
}

func giveUp(w *world, i *instance, _ *Step, now time.Time) string {
	w.handovers[i.name] = i.book.HandOver(now)
	return ""
}

func adopt(w *world, i *instance, s *Step, _ time.Time) string {
	for _, h := range w.handovers[s.From] {
		if !i.book.TakeOver(h) {
			return "refused"
		}
	}
	return "adopted"
}
