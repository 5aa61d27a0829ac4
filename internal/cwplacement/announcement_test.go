package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestAnnouncementOutlivesEntry guards against what an endpoint has stated about itself being lost
// when its entry lapses, returns or moves while the response that states it is on its way, or long
// after. The attempt still refers to the endpoint as it was when the request was placed.
func TestAnnouncementOutlivesEntry(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	entry := cwroute.Endpoint{ID: "e", StartedAtMillis: 7, Address: "10.0.0.1:80"}
	moved, restarted := entry, entry
	moved.Address, restarted.StartedAtMillis = "10.0.0.2:80", 8
	type scene struct {
		pool *cwplacement.Pool
		now  time.Time
		// placed is the endpoint of the attempt, and announce makes the response arrive.
		placed   *cwplacement.Endpoint
		announce func()
	}
	lapse := func(s *scene) { s.pool.Retain(func(string) bool { return false }) }
	register := func(s *scene, entry cwroute.Endpoint) { s.pool.Register(entry, "north", false, s.now, time.Time{}) }
	for _, test := range []struct {
		name string
		play func(s *scene)
		// isKept is set if the statement still holds.
		isKept bool
	}{
		{"lapses before the response", func(s *scene) { lapse(s); s.announce(); register(s, entry) }, true},
		{"lapses and returns before the response", func(s *scene) { lapse(s); register(s, entry); s.announce() }, true},
		{"lapses after the response", func(s *scene) { s.announce(); lapse(s); register(s, entry) }, true},
		{"moves before the response", func(s *scene) { register(s, moved); s.announce() }, true},
		{"moves after the response", func(s *scene) { s.announce(); register(s, moved) }, true},
		{"lapses long after the response", func(s *scene) {
			s.announce()
			s.now = s.now.Add(11 * time.Minute)
			s.announce()
			lapse(s)
			register(s, cwroute.Endpoint{ID: "other"})
			register(s, entry)
		}, true},
		{"restarts before the response", func(s *scene) { register(s, restarted); s.announce() }, false},
		{"restarts after the response", func(s *scene) { s.announce(); register(s, restarted) }, false},
	} {
		for _, statement := range []struct {
			name     string
			announce func(e *cwplacement.Endpoint, now time.Time)
		}{
			{"leaving", func(e *cwplacement.Endpoint, _ time.Time) { e.AnnounceLeaving() }},
			{"pause", func(e *cwplacement.Endpoint, now time.Time) { e.AnnouncePause(time.Minute, now) }},
			{"rate limit", func(e *cwplacement.Endpoint, now time.Time) { e.ObserveRateLimit(true, 0, now, now) }},
		} {
			t.Run(test.name+", "+statement.name, func(t *testing.T) {
				is := is.New(t)
				s := &scene{pool: cwplacement.NewPool(cwroute.Service{}, "a", rand.New(rand.NewPCG(1, 1))), now: start}
				register(s, entry)
				s.placed = s.pool.Endpoint("e")
				s.announce = func() { statement.announce(s.placed, s.now) }
				test.play(s)
				is.Equal(s.pool.Endpoint("e").IsUsable(s.now), !test.isKept)
			})
		}
	}
}

// TestStatementsTogether guards against one statement of an endpoint that hides another: each keeps
// requests away as long as it lasts, and a refused caller is told why.
func TestStatementsTogether(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const pause = 3 * time.Second
	for _, test := range []struct {
		name  string
		state func(p *cwplacement.Pool, e *cwplacement.Endpoint)
		// usableAfter is the time after which a request is sent; negative for never. reason is that of
		// the refusal before.
		usableAfter time.Duration
		reason      string
	}{
		{"a shorter pause after a longer one", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnouncePause(pause, start)
			e.AnnouncePause(time.Second, start)
		}, pause, "paused"},
		{"a longer pause after a shorter one", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnouncePause(time.Second, start)
			e.AnnouncePause(pause, start)
		}, pause, "paused"},
		{"a pause and a spent rate limit", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.ObserveRateLimit(true, 1, start, start)
			e.SetRateShare(0.2, 1, start) // a request in 5 s
			e.AnnouncePause(pause, start)
		}, 5 * time.Second, "paused"},
		{"a pause of a cold endpoint", func(p *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnouncePause(pause, start)
			p.Register(e.Endpoint, "north", true, start, start.Add(time.Minute))
		}, pause, "paused"},
		{"a pause of an endpoint that is leaving", func(_ *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnouncePause(pause, start)
			e.AnnounceLeaving()
		}, -1, "noPlace"},
		{"leaving beside a cold replacement of another instance", func(p *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnounceLeaving()
			p.Register(cwroute.Endpoint{ID: "replacement"}, "north", false, start, start.Add(pause))
		}, pause, "noPlace"},
		{"an entry that says ready again", func(p *cwplacement.Pool, e *cwplacement.Endpoint) {
			e.AnnounceLeaving()
			p.Register(e.Endpoint, "north", false, start, time.Time{})
		}, -1, "noPlace"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := cwplacement.NewPool(cwroute.Service{ColdRate: 1}, "a", rand.New(rand.NewPCG(1, 1)))
			test.state(p, p.Register(cwroute.Endpoint{ID: "e", StartedAtMillis: 7}, "north", false, start, time.Time{}))
			request := &cwplacement.Request{
				Requirements:   cwplacement.Requirements{FirstByteTarget: time.Second, FirstByteTimeout: 5 * time.Second},
				IsLocalAllowed: true, WasTried: func(string) bool { return false },
			}
			first := p.Decide(request, start)
			is.Equal(first.Action, cwplacement.ActionRefuse)
			is.Equal(first.Reason, test.reason)
			usableAfter := time.Duration(-1)
			for after := time.Duration(0); usableAfter < 0 && after < 10*time.Second; after += 100 * time.Millisecond {
				if d := p.Decide(request, start.Add(after)); d.Action == cwplacement.ActionSend {
					usableAfter = after
				}
			}
			is.Equal(usableAfter, test.usableAfter)
		})
	}
}
