package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

var start = time.Unix(1_800_000_000, 0)

// TestExpiredTicketStaysNotRunAtSuccessor guards against a successor with a clock
// that is behind: it must not run a request that was already reported as not run.
func TestExpiredTicketStaysNotRunAtSuccessor(t *testing.T) {
	is := is.New(t)
	predecessor := cwpolicy.NewTicketRegistry(1, cwpolicy.TicketKey{1})
	successor := cwpolicy.NewTicketRegistry(2, cwpolicy.TicketKey{2})
	ticket, ok := predecessor.Issue(cwpolicy.TicketID{7}, "booking", "caller", start)
	is.True(ok)
	late := start.Add(cwpolicy.TicketLifetime)
	status, _ := predecessor.Begin(ticket, "booking", "caller", late)
	is.Equal(status, cwpolicy.TicketExpired) // reported to the caller as notRun
	for _, handover := range predecessor.HandOver(late) {
		is.True(successor.TakeOver(handover))
	}
	// By the successor's clock, which is behind, the ticket has not expired yet.
	status, use := successor.Begin(ticket, "booking", "caller", late.Add(-time.Minute))
	is.Equal(status, cwpolicy.TicketEnded)
	is.Equal(use.Outcome, cwanswer.NotRun)
}

// ticketSimulation simulates two registries with skewed clocks, one ticket of each,
// and the handover from the first to the second.
type ticketSimulation struct {
	registries       [2]*cwpolicy.TicketRegistry
	clocks           [2]time.Time
	tickets          [2]string
	pendingHandovers []cwpolicy.TicketHandover
	running          []running
	runs             map[string]int
	isReportedNotRun map[string]bool
}

type running struct {
	at     int
	ticket string
	id     cwpolicy.TicketID
}

func newTicketSimulation(t *rapid.T) *ticketSimulation {
	s := &ticketSimulation{runs: make(map[string]int), isReportedNotRun: make(map[string]bool)}
	for i := range s.registries {
		s.clocks[i] = start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "skew")) * time.Second)
		s.registries[i] = cwpolicy.NewTicketRegistry(uint64(i+1), cwpolicy.TicketKey{byte(i)})
		s.tickets[i], _ = s.registries[i].Issue(cwpolicy.TicketID{byte(i)}, "s", "a", s.clocks[i])
	}
	return s
}

func (s *ticketSimulation) request(t *rapid.T) {
	at, ticket := rapid.IntRange(0, 1).Draw(t, "at"), rapid.SampledFrom(s.tickets[:]).Draw(t, "ticket")
	status, use := s.registries[at].Begin(ticket, "s", "a", s.clocks[at])
	switch status {
	case cwpolicy.TicketRun:
		s.running = append(s.running, running{at: at, ticket: ticket, id: use.ID})
	case cwpolicy.TicketExpired:
		s.isReportedNotRun[ticket] = true
	case cwpolicy.TicketEnded:
		s.isReportedNotRun[ticket] = s.isReportedNotRun[ticket] || use.Outcome == cwanswer.NotRun
	}
}

// proceed continues one started request after any delay. The request is either not
// sent, refused by the endpoint, or run. In the first two cases it is reported as not
// run.
func (s *ticketSimulation) proceed(t *rapid.T) {
	if len(s.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(t, "which")
	request := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	registry := s.registries[request.at]
	if !registry.MayDispatch(request.id, s.clocks[request.at]) || rapid.Bool().Draw(t, "refused") {
		registry.End(request.id, cwanswer.NotRun)
		s.isReportedNotRun[request.ticket] = true
		return
	}
	s.runs[request.ticket]++
	registry.End(request.id, cwanswer.Ran)
}

func (s *ticketSimulation) handOver(t *rapid.T) {
	handovers := s.registries[0].HandOver(s.clocks[0])
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	s.pendingHandovers = append(s.pendingHandovers, handovers...)
}

func (s *ticketSimulation) acceptHandover(t *rapid.T) {
	if len(s.pendingHandovers) == 0 {
		return
	}
	s.registries[1].TakeOver(rapid.SampledFrom(s.pendingHandovers).Draw(t, "handover"))
}

func (s *ticketSimulation) passTime(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "clock")
	s.clocks[i] = s.clocks[i].Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
}

func (s *ticketSimulation) check(t *rapid.T) {
	for _, ticket := range s.tickets {
		if s.runs[ticket] > 1 {
			t.Fatal("the request ran twice")
		}
		if s.isReportedNotRun[ticket] && s.runs[ticket] > 0 {
			t.Fatal("the request was reported as not run, but ran")
		}
	}
}

// TestTicketsRunAtMostOnceUnderAnySchedule guards against a request that runs twice or
// runs after it was reported as not run, under clock skew and lost, repeated or
// delayed handovers.
func TestTicketsRunAtMostOnceUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTicketSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"request": s.request, "proceed": s.proceed, "handOver": s.handOver, "adopt": s.acceptHandover, "passTime": s.passTime, "": s.check,
		})
	})
}

// FuzzParseTicket guards against panics on malformed tickets, and against an authentic
// ticket that is parsed to other values than were encoded.
func FuzzParseTicket(f *testing.F) {
	key := cwpolicy.TicketKey{3}
	f.Add(key.Encode(cwpolicy.Ticket{Issuer: 1, Expiry: start, Service: "s", Account: "a"}))
	f.Add("AA")
	f.Fuzz(func(t *testing.T, encoded string) {
		ticket, err := cwpolicy.ParseTicket(encoded)
		if err == nil && key.IsAuthentic(encoded) && key.Encode(ticket) != encoded {
			t.Fatalf("authentic ticket changed by parsing and encoding: %q", encoded)
		}
	})
}
