package cwapp_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TestPartitionedRegionServesItsCallers checks that a region that is partitioned from the
// platform and the other region serves its callers without delay, and gets the new
// configuration afterwards.
func TestPartitionedRegionServesItsCallers(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		regions := newRegionPair(t, s, "lookup")
		s.SetPartitioned([]string{regions.north.IP}, []string{regions.south.IP, cwscene.PlatformIP}, true)
		for range 20 {
			start := time.Now()
			resp := sendLookup(t, s, regions.north)
			is.Equal(resp.Status, 200)
			is.Equal(resp.Header.Get(cwanswer.HeaderRegion), "north")
			is.True(time.Since(start) < 100*time.Millisecond) // no request waits for an unreachable host
			time.Sleep(30 * time.Second)
		}
		s.SetPartitioned([]string{regions.north.IP}, []string{regions.south.IP, cwscene.PlatformIP}, false)
		awaitVersion(is, s, s.Publish(), regions.south)
		s.Await(func() bool { return regions.north.Control.Snapshot().ConfigTracker.Accepted().Number == 2 })
	})
}

// TestRequestForUnreachableRegionFailsFast checks that a request is refused at once, rather
// than at its deadline, if the only region where it may run is unreachable.
func TestRequestForUnreachableRegionFailsFast(t *testing.T) {
	service := cwscene.NewLookupService("south")
	service.Transit = []string{"north"}
	inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		regions := newRegionPair(t, s, "lookup")
		s.SetPartitioned([]string{regions.north.IP}, []string{regions.south.IP}, true)
		time.Sleep(20 * time.Second)
		start := time.Now()
		resp := sendLookup(t, s, regions.north)
		is.Equal(resp.Status, 503)
		is.Equal(decodeProblem(resp).Outcome, cwanswer.NotRun)
		is.True(decodeProblem(resp).RetryAfterSeconds > 0)
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}

// TestRequestSucceedsDespiteStalledConnections stalls the idle connections to both endpoints.
// The next request must succeed on another connection before its deadline.
func TestRequestSucceedsDespiteStalledConnections(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north"), cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		second := cwstandin.NewPlainService("second", 0)
		s.AddEndpoint("north-a", "10.1.0.6", "lookup", second.Handler())
		time.Sleep(5 * time.Second)
		for range 4 {
			is.Equal(sendLookup(t, s, p.a).Status, 200)
		}
		// Both endpoints have an idle connection in the pool, which now stalls.
		s.Net.StallOpenConns(p.a.IP, "10.1.0.5")
		s.Net.StallOpenConns(p.a.IP, "10.1.0.6")
		start := time.Now()
		is.Equal(sendLookup(t, s, p.a).Status, 200)
		is.True(time.Since(start) < 8*time.Second) // two stalled attempts fit into the service's deadline of 10 s
	})
}

// TestLostBookingHasOutcomeUnknown loses the connection to the endpoint of a booking. The
// outcome must not be notRun, since the endpoint may have received the request.
func TestLostBookingHasOutcomeUnknown(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		is.Equal(sendBooking(t.Context(), c, p.a, requestTicket(t.Context(), is, c, p.a)).Status, 200)
		ticket := requestTicket(t.Context(), is, c, p.a)
		s.Net.SetPartitioned(p.a.IP, "10.1.0.5", true)
		resp := sendBooking(t.Context(), c, p.a, ticket)
		is.Equal(decodeProblem(resp).Outcome, cwanswer.Unknown) // bytes were sent on the pooled connection
		is.True(p.plain.Runs(ticket) <= 1)
	})
}

// TestRefusedConnectionHasOutcomeNotRun checks that a booking whose endpoint refuses the
// connection is reported as not run, so that the caller may retry it.
func TestRefusedConnectionHasOutcomeNotRun(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		s.Net.KillHost("10.1.0.5")
		// A request on a kept connection whose end has not arrived yet may have run.
		synctest.Wait()
		resp := sendBooking(t.Context(), c, p.a, ticket)
		is.True(resp.Status == http.StatusBadGateway || resp.Status == http.StatusServiceUnavailable)
		is.Equal(decodeProblem(resp).Outcome, cwanswer.NotRun)
		is.Equal(p.plain.Runs(ticket), 0)
	})
}

// TestOverloadIsRefusedBeforeDeadline sends far more requests than the engine can serve. The
// excess must be refused with Retry-After before the deadline, rather than wait until then.
func TestOverloadIsRefusedBeforeDeadline(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("slow", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 2, PromptTokensPerSecond: 1000, TokenInterval: 500 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		ctx, cancel := context.WithCancel(t.Context())
		responses := make(chan cwscene.Response, 300)
		sendRequest := func() {
			start := time.Now()
			resp := s.NewCaller().Do(ctx, i, cwscene.Request{
				Method: "POST", Path: "/services/chat/v1/chat/completions", Body: `{"max_tokens":20,"stream":true,"messages":[]}`,
			})
			if resp.Status == http.StatusServiceUnavailable {
				is.True(decodeProblem(resp).RetryAfterSeconds > 0)
				is.Equal(decodeProblem(resp).Outcome, cwanswer.NotRun)
			}
			if resp.Status != 200 {
				// Refused before the deadline of 60 s expires.
				is.True(time.Since(start) < 59*time.Second)
			}
			responses <- resp
		}
		for range 200 {
			go sendRequest()
			time.Sleep(100 * time.Millisecond)
		}
		refused := 0
		for range 200 {
			if resp := <-responses; resp.Status == http.StatusServiceUnavailable {
				refused++
			}
		}
		cancel()
		is.True(refused > 100) // two slots, ten seconds per request: twelve requests per minute
	})
}
