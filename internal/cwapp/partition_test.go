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

func TestCutOffRegionServesItsCallers(t *testing.T) {
	inScene(t, services(cwscene.Lookup("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		two := newTwoRegions(t, s, "lookup")
		s.Cut([]string{two.north.IP}, []string{two.south.IP, cwscene.PlatformIP}, true)
		for range 20 {
			start := time.Now()
			a := lookupOnce(t, s, two.north)
			is.Equal(a.Status, 200)
			is.Equal(a.Header.Get(cwanswer.HeaderRegion), "north")
			is.True(time.Since(start) < 100*time.Millisecond) // nothing waits for what is cut off
			time.Sleep(30 * time.Second)
		}
		s.Cut([]string{two.north.IP}, []string{two.south.IP, cwscene.PlatformIP}, false)
		awaitVersion(is, s, s.Publish(), two.south)
		s.Await(func() bool { return two.north.Control.Snapshot().ConfigTracker.Accepted().Number == 2 })
	})
}

func TestRequestForCutOffPlaceFailsAtOnce(t *testing.T) {
	service := cwscene.Lookup("south")
	service.Transit = []string{"north"}
	inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		two := newTwoRegions(t, s, "lookup")
		s.Cut([]string{two.north.IP}, []string{two.south.IP}, true)
		time.Sleep(20 * time.Second)
		start := time.Now()
		a := lookupOnce(t, s, two.north)
		is.Equal(a.Status, 503)
		is.Equal(problemOf(a).Outcome, cwanswer.NotRun)
		is.True(problemOf(a).RetryAfterSeconds > 0)
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}

func TestSilentConnectionIsNotWaitedFor(t *testing.T) {
	inScene(t, services(cwscene.Lookup("north"), cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "lookup")
		second := cwstandin.NewPlain("second", 0)
		s.AddEndpoint("north-a", "10.1.0.6", "lookup", second.Handler())
		time.Sleep(5 * time.Second)
		for range 4 {
			is.Equal(lookupOnce(t, s, p.a).Status, 200)
		}
		// Both endpoints have an idle connection in the pool, which goes silent.
		s.Net.Silence(p.a.IP, "10.1.0.5")
		s.Net.Silence(p.a.IP, "10.1.0.6")
		start := time.Now()
		is.Equal(lookupOnce(t, s, p.a).Status, 200)
		is.True(time.Since(start) < 8*time.Second) // the service's deadline is 10 s; two silent tries fit
	})
}

func TestLostBookingIsUnknownNotNotRun(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		c := s.Caller()
		is.Equal(book(t.Context(), c, p.a, takeTicket(t.Context(), is, c, p.a)).Status, 200)
		ticket := takeTicket(t.Context(), is, c, p.a)
		s.Net.SetCut(p.a.IP, "10.1.0.5", true)
		a := book(t.Context(), c, p.a, ticket)
		is.Equal(problemOf(a).Outcome, cwanswer.Unknown) // bytes went out on the pooled connection
		is.True(p.plain.Runs(ticket) <= 1)
	})
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	inScene(t, services(cwscene.Booking("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "booking")
		c := s.Caller()
		ticket := takeTicket(t.Context(), is, c, p.a)
		s.Net.Kill("10.1.0.5")
		a := book(t.Context(), c, p.a, ticket)
		is.True(a.Status == http.StatusBadGateway || a.Status == http.StatusServiceUnavailable)
		is.Equal(problemOf(a).Outcome, cwanswer.NotRun)
		is.Equal(p.plain.Runs(ticket), 0)
	})
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	inScene(t, services(cwscene.Chat("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := cwstandin.NewEngine("slow", cwstandin.EngineOptions{
			Model: "chat-model", Slots: 2, PromptTokensPerSecond: 1000, TokenInterval: 500 * time.Millisecond,
		})
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		ctx, cancel := context.WithCancel(t.Context())
		answers := make(chan cwscene.Answer, 300)
		send := func() {
			start := time.Now()
			a := s.Caller().Do(ctx, i, cwscene.Request{
				Method: "POST", Path: "/services/chat/v1/chat/completions", Body: `{"max_tokens":20,"stream":true,"messages":[]}`,
			})
			if a.Status == http.StatusServiceUnavailable {
				is.True(problemOf(a).RetryAfterSeconds > 0)
				is.Equal(problemOf(a).Outcome, cwanswer.NotRun)
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
