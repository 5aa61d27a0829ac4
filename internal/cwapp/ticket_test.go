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
	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

func sendBooking(ctx context.Context, c *cwscene.Caller, i *cwscene.Instance, ticket string) cwscene.Response {
	return c.Do(ctx, i, cwscene.Request{
		Method: "POST", Path: "/services/booking/bookings", Body: `{"truck":4}`,
		Header: []string{cwanswer.HeaderTicket, ticket},
	})
}

func requestTicket(ctx context.Context, is *is.I, c *cwscene.Caller, i *cwscene.Instance) string {
	resp := c.Do(ctx, i, cwscene.Request{Method: "POST", Path: "/v1/tickets?service=booking"})
	is.NoErr(resp.Err)
	grant := cwanswer.TicketGrant{}
	is.NoErr(json.Unmarshal([]byte(resp.Body), &grant))
	return grant.Ticket
}

// TestBookingNeedsTicketAndRunsOnce checks that a booking without a ticket is refused, and that
// bookings with the same ticket run once and get the same response at every instance.
func TestBookingNeedsTicketAndRunsOnce(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		resp := sendBooking(t.Context(), c, p.a, "")
		is.Equal(resp.Status, http.StatusPreconditionRequired)
		is.Equal(decodeProblem(resp).Outcome, cwanswer.NotRun)
		ticket := decodeProblem(resp).Ticket
		first := sendBooking(t.Context(), c, p.a, ticket)
		is.Equal(first.Status, 200)
		again := sendBooking(t.Context(), c, p.a, ticket)
		is.Equal(again.Body, first.Body)
		elsewhere := sendBooking(t.Context(), c, p.b, ticket)
		is.Equal(elsewhere.Body, first.Body)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

// TestDuplicateRequestsShareOneRun sends a booking several times at once to two instances. It
// must run once, and all callers must get its response.
func TestDuplicateRequestsShareOneRun(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		p.plain.BlockUntil = make(chan struct{})
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		var wg sync.WaitGroup
		responses := make([]cwscene.Response, 8)
		for n := range responses {
			instance := p.a
			if n%2 == 1 {
				instance = p.b
			}
			wg.Go(func() { responses[n] = sendBooking(t.Context(), c, instance, ticket) })
		}
		is.Equal(<-p.plain.StartedKeys(), ticket)
		time.Sleep(time.Second)
		close(p.plain.BlockUntil)
		wg.Wait()
		for _, resp := range responses {
			is.Equal(resp.Status, 200)
			is.Equal(resp.Body, responses[0].Body)
		}
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

// TestTicketRunContinuesAfterCallerDisconnects checks that a booking is not cancelled when its
// caller disconnects, so that a retry gets its response.
func TestTicketRunContinuesAfterCallerDisconnects(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		p.plain.BlockUntil = make(chan struct{})
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		ctx, cancel := context.WithCancel(t.Context())
		cancelled := make(chan cwscene.Response)
		go func() { cancelled <- sendBooking(ctx, c, p.a, ticket) }()
		<-p.plain.StartedKeys()
		cancel()
		is.True((<-cancelled).Err != nil)
		close(p.plain.BlockUntil)
		is.Equal(sendBooking(t.Context(), c, p.b, ticket).Status, 200)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

// TestIssuerLost uses a ticket at an instance that cannot reach the issuer of the ticket. The
// booking must not run there, since it may also run at the issuer.
func TestIssuerLost(t *testing.T) {
	scenarios := []struct {
		name    string
		used    bool
		fault   func(p *instancePair)
		outcome cwanswer.Outcome
	}{
		{name: "killed, ticket unused", fault: func(p *instancePair) { p.Kill(p.a) }, outcome: cwanswer.Unknown},
		{name: "killed while it runs", used: true, fault: func(p *instancePair) { p.Kill(p.a) }, outcome: cwanswer.Ran},
		{name: "partitioned, ticket unused", fault: func(p *instancePair) { p.Net.SetPartitioned(p.a.IP, p.b.IP, true) }, outcome: cwanswer.Unknown},
		{name: "partitioned while it runs", used: true, fault: func(p *instancePair) { p.Net.SetPartitioned(p.a.IP, p.b.IP, true) }, outcome: cwanswer.Ran},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				p := newInstancePair(s, "booking")
				p.plain.BlockUntil = make(chan struct{})
				c := s.NewCaller()
				ticket := requestTicket(t.Context(), is, c, p.a)
				done := make(chan cwscene.Response, 1)
				if sc.used {
					go func() { done <- sendBooking(t.Context(), c, p.a, ticket) }()
					<-p.plain.StartedKeys()
				}
				sc.fault(p)
				start := time.Now()
				resp := sendBooking(t.Context(), c, p.b, ticket)
				is.True(resp.Status >= 500)                       // refused
				is.Equal(decodeProblem(resp).Outcome, sc.outcome) // never notRun: the issuer may still run the request
				is.True(decodeProblem(resp).RetryAfterSeconds > 0 || sc.name == "killed, ticket unused")
				is.True(time.Since(start) < 6*time.Second) // well before the deadline of 20 s
				close(p.plain.BlockUntil)
				if sc.used {
					<-done
				}
				is.True(p.plain.Runs(ticket) <= 1)
			})
		})
	}
}

// TestLeavingIssuerHandsOverTickets checks that tickets stay valid after their issuer has shut
// down, and that a used one does not run again.
func TestLeavingIssuerHandsOverTickets(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		used, unused := requestTicket(t.Context(), is, c, p.a), requestTicket(t.Context(), is, c, p.a)
		is.Equal(sendBooking(t.Context(), c, p.a, used).Status, 200)
		p.a.Stop()
		<-p.a.Done()
		resp := sendBooking(t.Context(), c, p.b, used)
		is.Equal(resp.Status, http.StatusConflict)
		is.Equal(decodeProblem(resp).Outcome, cwanswer.Ran) // the successor has the outcome
		is.Equal(sendBooking(t.Context(), c, p.b, unused).Status, 200)
		is.Equal(p.plain.Runs(used), 1)
		is.Equal(p.plain.Runs(unused), 1)
	})
}

// TestTicketRunCompletesWhileIssuerLeaves checks that a booking in progress is completed while
// its issuer shuts down, and is not run again by the successor.
func TestTicketRunCompletesWhileIssuerLeaves(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		p.plain.BlockUntil = make(chan struct{})
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		done := make(chan cwscene.Response)
		go func() { done <- sendBooking(t.Context(), c, p.a, ticket) }()
		<-p.plain.StartedKeys()
		p.a.Stop()
		time.Sleep(2 * time.Second)
		during := sendBooking(t.Context(), c, p.b, ticket)
		is.True(decodeProblem(during).Outcome != cwanswer.NotRun)
		close(p.plain.BlockUntil)
		is.Equal((<-done).Status, 200) // the shutdown did not abort the request
		<-p.a.Done()
		is.Equal(decodeProblem(sendBooking(t.Context(), c, p.b, ticket)).Outcome, cwanswer.Ran)
		is.Equal(p.plain.Runs(ticket), 1)
	})
}

// TestBadTickets checks that tickets that are malformed, forged, expired or of another account
// are refused, with an outcome that the instance can be sure of.
func TestBadTickets(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddAccount("rival", "rival-key", "")
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		rival := s.NewCaller()
		rival.Key = "rival-key"
		var key cwpolicy.TicketKey
		parsed, err := cwpolicy.ParseTicket(ticket)
		is.NoErr(err)
		otherIssuer := parsed
		otherIssuer.Issuer = 4711
		scenarios := []struct {
			name    string
			caller  *cwscene.Caller
			ticket  string
			outcome cwanswer.Outcome
		}{
			{"garbage", c, "x", cwanswer.NotRun},
			{"another account's", rival, ticket, cwanswer.NotRun},
			{"forged for this issuer", c, key.Encode(parsed), cwanswer.NotRun},
			{"forged for an unknown issuer", c, key.Encode(otherIssuer), cwanswer.Unknown},
		}
		for _, sc := range scenarios {
			resp := sendBooking(t.Context(), sc.caller, p.a, sc.ticket)
			is.True(resp.Status >= 400)                       // refused
			is.Equal(decodeProblem(resp).Outcome, sc.outcome) // with the right outcome
		}
		time.Sleep(cwpolicy.TicketLifetime)
		expired := sendBooking(t.Context(), c, p.a, ticket)
		is.Equal(decodeProblem(expired).Type, "problems/ticket-expired")
		is.Equal(decodeProblem(expired).Outcome, cwanswer.NotRun)
		is.Equal(sendBooking(t.Context(), c, p.a, decodeProblem(expired).Ticket).Status, 200)
		total, doubled := p.plain.TotalRuns()
		is.Equal(total, 1)
		is.Equal(doubled, 0)
	})
}

func newBookingRequest() cwclient.Request {
	return cwclient.Request{Service: "booking", Method: "POST", Path: "/bookings", Body: []byte(`{"truck":4}`)}
}

// TestClientLibraryBooksOnceAcrossKill kills an instance while a client library books. Retries
// at the other instance must not run a booking twice.
func TestClientLibraryBooksOnceAcrossKill(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		client := s.NewClient(p.a, p.b)
		for n := range 20 {
			if n == 10 {
				s.Kill(p.a)
			}
			resp, err := client.Call(t.Context(), newBookingRequest())
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

// TestRefusedTicketIsNotCalledNotRun guards against a refusal which states that a booking has not
// run, to a caller that lost the response and sends it again: an instance that has not looked at the
// uses of the ticket can't tell.
func TestRefusedTicketIsNotCalledNotRun(t *testing.T) {
	for _, sc := range []struct {
		name, key  string
		isAtIssuer bool
		header     []string
		status     int
	}{
		{"too many requests in flight", "", true, nil, http.StatusTooManyRequests},
		{"bad deadline", "", true, []string{cwanswer.HeaderDeadline, "x"}, http.StatusBadRequest},
		{"unknown key", "unknown", true, nil, http.StatusUnauthorized},
		{"refused by the issuer for another instance", "", false, []string{cwanswer.HeaderDeadline, "500us"}, http.StatusGatewayTimeout},
	} {
		t.Run(sc.name, func(t *testing.T) {
			service := cwscene.NewBookingService("north")
			service.Limits.AccountStreams = 1
			inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				p := newInstancePair(s, "booking")
				p.plain.BlockUntil = make(chan struct{})
				c := s.NewCaller()
				ticket := requestTicket(t.Context(), is, c, p.a)
				done := make(chan cwscene.Response, 1)
				go func() { done <- sendBooking(t.Context(), c, p.a, ticket) }()
				<-p.plain.StartedKeys()
				again, i := s.NewCaller(), p.b
				if sc.isAtIssuer {
					i = p.a
				}
				if sc.key != "" {
					again.Key = sc.key
				}
				resp := again.Do(t.Context(), i, cwscene.Request{
					Method: "POST", Path: bookingsPath, Body: `{"truck":4}`,
					Header: append([]string{cwanswer.HeaderTicket, ticket}, sc.header...),
				})
				is.Equal(resp.Status, sc.status)
				is.True(decodeProblem(resp).Outcome != cwanswer.NotRun)
				close(p.plain.BlockUntil)
				is.Equal((<-done).Status, http.StatusOK)
				is.Equal(p.plain.Runs(ticket), 1)
			})
		})
	}
}
