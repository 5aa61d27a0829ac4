package cwapp_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

func TestPartitionedRegionServesItsCallers(t *testing.T) {
	runInScene(t, services(cwscene.NewLookupService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		two := newRegionPair(t, s, "lookup")
		s.SetPartitioned([]string{two.north.IP}, []string{two.south.IP, cwscene.PlatformIP}, true)
		for range 20 {
			start := time.Now()
			a := sendLookup(t, s, two.north)
			is.Equal(a.Status, 200)
			is.Equal(a.Header.Get(cwanswer.HeaderRegion), "north")
			is.True(time.Since(start) < 100*time.Millisecond) // nothing waits for what is cut off
			time.Sleep(30 * time.Second)
		}
		s.SetPartitioned([]string{two.north.IP}, []string{two.south.IP, cwscene.PlatformIP}, false)
		awaitVersion(is, s, s.Publish(), two.south)
		s.Await(func() bool { return two.north.Control.Snapshot().ConfigTracker.Accepted().Number == 2 })
	})
}

func TestRequestForUnreachableRegionFailsFast(t *testing.T) {
	service := cwscene.NewLookupService("south")
	service.Transit = []string{"north"}
	runInScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		two := newRegionPair(t, s, "lookup")
		s.SetPartitioned([]string{two.north.IP}, []string{two.south.IP}, true)
		time.Sleep(20 * time.Second)
		start := time.Now()
		a := sendLookup(t, s, two.north)
		is.Equal(a.Status, 503)
		is.Equal(decodeProblem(a).Outcome, cwanswer.NotRun)
		is.True(decodeProblem(a).RetryAfterSeconds > 0)
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}

func TestStalledConnectionsDoNotDelayRequest(t *testing.T) {
	runInScene(t, services(cwscene.NewLookupService("north"), cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		second := cwstandin.NewPlainService("second", 0)
		s.AddEndpoint("north-a", "10.1.0.6", "lookup", second.Handler())
		time.Sleep(5 * time.Second)
		for range 4 {
			is.Equal(sendLookup(t, s, p.a).Status, 200)
		}
		// Both endpoints have an idle connection in the pool, which goes silent.
		s.Net.StallOpenConns(p.a.IP, "10.1.0.5")
		s.Net.StallOpenConns(p.a.IP, "10.1.0.6")
		start := time.Now()
		is.Equal(sendLookup(t, s, p.a).Status, 200)
		is.True(time.Since(start) < 8*time.Second) // the service's deadline is 10 s; two silent tries fit
	})
}

func TestLostBookingHasOutcomeUnknown(t *testing.T) {
	runInScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		is.Equal(sendBooking(t.Context(), c, p.a, requestTicket(t.Context(), is, c, p.a)).Status, 200)
		ticket := requestTicket(t.Context(), is, c, p.a)
		s.Net.SetPartitioned(p.a.IP, "10.1.0.5", true)
		a := sendBooking(t.Context(), c, p.a, ticket)
		is.Equal(decodeProblem(a).Outcome, cwanswer.Unknown) // bytes went out on the pooled connection
		is.True(p.plain.Runs(ticket) <= 1)
	})
}

func TestRefusedConnectionHasOutcomeNotRun(t *testing.T) {
	runInScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "booking")
		c := s.NewCaller()
		ticket := requestTicket(t.Context(), is, c, p.a)
		s.Net.KillHost("10.1.0.5")
		a := sendBooking(t.Context(), c, p.a, ticket)
		is.True(a.Status == http.StatusBadGateway || a.Status == http.StatusServiceUnavailable)
		is.Equal(decodeProblem(a).Outcome, cwanswer.NotRun)
		is.Equal(p.plain.Runs(ticket), 0)
	})
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	runInScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("slow", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 2, PromptTokensPerSecond: 1000, TokenInterval: 500 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		ctx, cancel := context.WithCancel(t.Context())
		answers := make(chan cwscene.Response, 300)
		send := func() {
			start := time.Now()
			a := s.NewCaller().Do(ctx, i, cwscene.Request{
				Method: "POST", Path: "/services/chat/v1/chat/completions", Body: `{"max_tokens":20,"stream":true,"messages":[]}`,
			})
			if a.Status == http.StatusServiceUnavailable {
				is.True(decodeProblem(a).RetryAfterSeconds > 0)
				is.Equal(decodeProblem(a).Outcome, cwanswer.NotRun)
			}
			if a.Status != 200 {
				// Given up on long before the deadline of 60 s, when that is known.
				is.True(time.Since(start) < 59*time.Second)
			}
			answers <- a
		}
		for range 200 {
			go send()
			time.Sleep(100 * time.Millisecond)
		}
		refused := 0
		for range 200 {
			if a := <-answers; a.Status == http.StatusServiceUnavailable {
				refused++
			}
		}
		cancel()
		is.True(refused > 100) // two slots of ten seconds each serve a dozen in a minute
	})
}
