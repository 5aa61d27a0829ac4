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
