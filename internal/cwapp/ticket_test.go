package cwapp_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

func book(ctx context.Context, c *cwscene.Caller, i *cwscene.Instance, ticket string) cwscene.Answer {
	return c.Do(ctx, i, cwscene.Request{
		Method: "POST", Path: "/services/booking/bookings", Body: `{"truck":4}`,
		Header: []string{cwanswer.HeaderTicket, ticket},
	})
}

func takeTicket(ctx context.Context, is *is.I, c *cwscene.Caller, i *cwscene.Instance) string {
	a := c.Do(ctx, i, cwscene.Request{Method: "POST", Path: "/v1/tickets?service=booking"})
	is.NoErr(a.Err)
	grant := cwanswer.TicketGrant{}
	is.NoErr(json.Unmarshal([]byte(a.Body), &grant))
	return grant.Ticket
}

func TestBookingNeedsTicketAndRunsOnce(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		c := s.Caller()
		a := book(t.Context(), c, p.a, "")
		is.Equal(a.Status, http.StatusPreconditionRequired)
		is.Equal(problemOf(a).Outcome, cwanswer.NotRun)
		ticket := problemOf(a).Ticket
		first := book(t.Context(), c, p.a, ticket)
		is.Equal(first.Status, 200)
		again := book(t.Context(), c, p.a, ticket)
		is.Equal(again.Body, first.Body)
		elsewhere := book(t.Context(), c, p.b, ticket)
		is.Equal(elsewhere.Body, first.Body)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

func TestDuplicatesJoinTheRunningRequest(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		p.plain.Hold = make(chan struct{})
		c := s.Caller()
		ticket := takeTicket(t.Context(), is, c, p.a)
		var wg sync.WaitGroup
		answers := make([]cwscene.Answer, 8)
		for n := range answers {
			at := p.a
			if n%2 == 1 {
				at = p.b
			}
			wg.Go(func() { answers[n] = book(t.Context(), c, at, ticket) })
		}
		is.Equal(<-p.plain.Started(), ticket)
		time.Sleep(time.Second)
		close(p.plain.Hold)
		wg.Wait()
		for _, a := range answers {
			is.Equal(a.Status, 200)
			is.Equal(a.Body, answers[0].Body)
		}
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

func TestRunGoesOnWithoutItsCaller(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		p.plain.Hold = make(chan struct{})
		c := s.Caller()
		ticket := takeTicket(t.Context(), is, c, p.a)
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan cwscene.Answer)
		go func() { gone <- book(ctx, c, p.a, ticket) }()
		<-p.plain.Started()
		cancel()
		is.True((<-gone).Err != nil)
		close(p.plain.Hold)
		is.Equal(book(t.Context(), c, p.b, ticket).Status, 200)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

func TestIssuerLost(t *testing.T) {
	scenarios := []struct {
		name    string
		used    bool
		lose    func(p *pair)
		outcome cwanswer.Outcome
	}{
		{name: "killed, ticket unused", lose: func(p *pair) { p.Kill(p.a) }, outcome: cwanswer.Unknown},
		{name: "killed while it runs", used: true, lose: func(p *pair) { p.Kill(p.a) }, outcome: cwanswer.Ran},
		{name: "cut off, ticket unused", lose: func(p *pair) { p.Net.SetCut(p.a.IP, p.b.IP, true) }, outcome: cwanswer.Unknown},
		{name: "cut off while it runs", used: true, lose: func(p *pair) { p.Net.SetCut(p.a.IP, p.b.IP, true) }, outcome: cwanswer.Ran},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				p := newPair(s, "booking")
				p.plain.Hold = make(chan struct{})
				c := s.Caller()
				ticket := takeTicket(t.Context(), is, c, p.a)
				done := make(chan cwscene.Answer, 1)
				if sc.used {
					go func() { done <- book(t.Context(), c, p.a, ticket) }()
					<-p.plain.Started()
				}
				sc.lose(p)
				start := time.Now()
				a := book(t.Context(), c, p.b, ticket)
				is.True(a.Status >= 500)                   // refused
				is.Equal(problemOf(a).Outcome, sc.outcome) // never notRun: the issuer may still run it
				is.True(problemOf(a).RetryAfterSeconds > 0 || sc.name == "killed, ticket unused")
				is.True(time.Since(start) < 6*time.Second) // far from the 20 s deadline
				close(p.plain.Hold)
				if sc.used {
					<-done
				}
				is.True(p.plain.Runs(ticket) <= 1)
			})
		})
	}
}

func TestTicketsOfLeavingIssuerMove(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		c := s.Caller()
		used, unused := takeTicket(t.Context(), is, c, p.a), takeTicket(t.Context(), is, c, p.a)
		is.Equal(book(t.Context(), c, p.a, used).Status, 200)
		p.a.Stop()
		<-p.a.Done()
		a := book(t.Context(), c, p.b, used)
		is.Equal(a.Status, http.StatusConflict)
		is.Equal(problemOf(a).Outcome, cwanswer.Ran) // the successor knows the outcome
		is.Equal(book(t.Context(), c, p.b, unused).Status, 200)
		is.Equal(p.plain.Runs(used), 1)
		is.Equal(p.plain.Runs(unused), 1)
	})
}

func TestTicketOfLeavingIssuerWhileItRuns(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		p.plain.Hold = make(chan struct{})
		c := s.Caller()
		ticket := takeTicket(t.Context(), is, c, p.a)
		done := make(chan cwscene.Answer)
		go func() { done <- book(t.Context(), c, p.a, ticket) }()
		<-p.plain.Started()
		p.a.Stop()
		time.Sleep(2 * time.Second)
		during := book(t.Context(), c, p.b, ticket)
		is.True(problemOf(during).Outcome != cwanswer.NotRun)
		close(p.plain.Hold)
		is.Equal((<-done).Status, 200) // the shutdown cut nothing
		<-p.a.Done()
		is.Equal(problemOf(book(t.Context(), c, p.b, ticket)).Outcome, cwanswer.Ran)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

func TestBadTickets(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddAccount("rival", "rival-key", "")
		p := newPair(s, "booking")
		c := s.Caller()
		ticket := takeTicket(t.Context(), is, c, p.a)
		rival := s.Caller()
		rival.Key = "rival-key"
		var key cwpolicy.TicketKey
		parsed, err := cwpolicy.ParseTicket(ticket)
		is.NoErr(err)
		elsewhere := parsed
		elsewhere.Issuer = 4711
		scenarios := []struct {
			name    string
			caller  *cwscene.Caller
			ticket  string
			outcome cwanswer.Outcome
		}{
			{"garbage", c, "x", cwanswer.NotRun},
			{"another account's", rival, ticket, cwanswer.NotRun},
			{"forged for this issuer", c, key.Encode(parsed), cwanswer.NotRun},
			{"forged for an unknown issuer", c, key.Encode(elsewhere), cwanswer.Unknown},
		}
		for _, sc := range scenarios {
			a := book(t.Context(), sc.caller, p.a, sc.ticket)
			is.True(a.Status >= 400)                   // refused
			is.Equal(problemOf(a).Outcome, sc.outcome) // with the right outcome
		}
		time.Sleep(cwpolicy.TicketLifetime)
		expired := book(t.Context(), c, p.a, ticket)
		is.Equal(problemOf(expired).Type, "problems/ticket-expired")
		is.Equal(problemOf(expired).Outcome, cwanswer.NotRun)
		is.Equal(book(t.Context(), c, p.a, problemOf(expired).Ticket).Status, 200)
		total, doubled := p.plain.TotalRuns()
		is.Equal(total, 1)
		is.Equal(doubled, 0)
	})
}

func TestCallerLibraryBooksOnceThroughKill(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		client := s.Client(p.a, p.b)
		for n := range 20 {
			if n == 10 {
				s.Kill(p.a)
			}
			resp, err := client.Call(t.Context(), bookingRequest())
			if err == nil {
				_ = resp.Body.Close()
				continue
			}
			t.Log(fmt.Sprintf("booking %d: %v", n, err))
		}
		_, doubled := p.plain.TotalRuns()
		is.Equal(doubled, 0)
	})
}
