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

func TestExpiredTicketStaysNotRunAtSuccessor(t *testing.T) {
	is := is.New(t)
	a := cwpolicy.NewTicketRegistry(1, cwpolicy.TicketKey{1})
	b := cwpolicy.NewTicketRegistry(2, cwpolicy.TicketKey{2})
	ticket, ok := a.Issue(cwpolicy.TicketID{7}, "booking", "caller", start)
	is.True(ok)
	late := start.Add(cwpolicy.TicketLifetime)
	verdict, _ := a.Begin(ticket, "booking", "caller", late)
	is.Equal(verdict, cwpolicy.TicketExpired) // the caller is told notRun
	for _, h := range a.HandOver(late) {
		is.True(b.TakeOver(h))
	}
	// The successor's clock is behind: by it, the ticket is still good.
	verdict, use := b.Begin(ticket, "booking", "caller", late.Add(-time.Minute))
	is.Equal(verdict, cwpolicy.TicketEnded)
	is.Equal(use.Outcome, cwanswer.NotRun)
}

// ticketWorld is two books, their handover and one ticket of each.
type ticketWorld struct {
	books   [2]*cwpolicy.TicketRegistry
	clock   [2]time.Time
	tickets [2]string
	pending []cwpolicy.TicketHandover
	running []running
	runs    map[string]int
	notRun  map[string]bool
}

type running struct {
	at     int
	ticket string
	id     cwpolicy.TicketID
}

func newTicketWorld(t *rapid.T) *ticketWorld {
	w := &ticketWorld{runs: make(map[string]int), notRun: make(map[string]bool)}
	for i := range w.books {
		w.clock[i] = start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "skew")) * time.Second)
		w.books[i] = cwpolicy.NewTicketRegistry(uint64(i+1), cwpolicy.TicketKey{byte(i)})
		w.tickets[i], _ = w.books[i].Issue(cwpolicy.TicketID{byte(i)}, "s", "a", w.clock[i])
	}
	return w
}

func (w *ticketWorld) request(t *rapid.T) {
	at, ticket := rapid.IntRange(0, 1).Draw(t, "at"), rapid.SampledFrom(w.tickets[:]).Draw(t, "ticket")
	verdict, use := w.books[at].Begin(ticket, "s", "a", w.clock[at])
	switch verdict {
	case cwpolicy.TicketRun:
		w.running = append(w.running, running{at: at, ticket: ticket, id: use.ID})
	case cwpolicy.TicketExpired:
		w.notRun[ticket] = true
	case cwpolicy.TicketEnded:
		w.notRun[ticket] = w.notRun[ticket] || use.Outcome == cwanswer.NotRun
	}
}

// proceed lets one begun request go on after any pause: refused, failed before
// the first byte, or run.
func (w *ticketWorld) proceed(t *rapid.T) {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "which")
	r := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	book := w.books[r.at]
	if !book.MayDispatch(r.id, w.clock[r.at]) || rapid.Bool().Draw(t, "refused") {
		book.End(r.id, cwanswer.NotRun)
		w.notRun[r.ticket] = true
		return
	}
	w.runs[r.ticket]++
	book.End(r.id, cwanswer.Ran)
}

func (w *ticketWorld) leave(t *rapid.T) {
	handovers := w.books[0].HandOver(w.clock[0])
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	w.pending = append(w.pending, handovers...)
}

func (w *ticketWorld) adopt(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	w.books[1].TakeOver(rapid.SampledFrom(w.pending).Draw(t, "handover"))
}

func (w *ticketWorld) pass(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "clock")
	w.clock[i] = w.clock[i].Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
}

func (w *ticketWorld) check(t *rapid.T) {
	for _, ticket := range w.tickets {
		if w.runs[ticket] > 1 {
			t.Fatal("ran twice")
		}
		if w.notRun[ticket] && w.runs[ticket] > 0 {
			t.Fatal("called not run, and ran")
		}
	}
}

func TestTicketsRunAtMostOnceUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTicketWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"request": w.request, "proceed": w.proceed, "leave": w.leave, "adopt": w.adopt, "pass": w.pass, "": w.check,
		})
	})
}

func FuzzParseTicket(f *testing.F) {
	key := cwpolicy.TicketKey{3}
	f.Add(key.Encode(cwpolicy.Ticket{Issuer: 1, Expiry: start, Service: "s", Account: "a"}))
	f.Add("AA")
	f.Fuzz(func(t *testing.T, encoded string) {
		ticket, err := cwpolicy.ParseTicket(encoded)
		if err == nil && key.IsAuthentic(encoded) && key.Encode(ticket) != encoded {
			t.Fatalf("an authentic ticket changed in reading: %q", encoded)
		}
	})
}
