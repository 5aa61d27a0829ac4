package cwplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// announcementSteps is the number of steps of a schedule, and maxReturnRequests the number of requests
// that an endpoint may get within returnWindow after a pause, before it has answered one.
const (
	announcementSteps, maxReturnRequests = 60, 5
	returnWindow                         = time.Second
)

// lifeModel is what one run of an endpoint's process has stated, and what it gets.
type lifeModel struct {
	id          string
	startedAt   int64
	isLeaving   bool
	pausedUntil time.Time
	// returns are the times of requests after the pause and before the first answer to one.
	returns []time.Time
}

// announcementModel is a pool with endpoints whose entries lapse, return and move, and that restart,
// while responses are on their way.
type announcementModel struct {
	pool    *cwplacement.Pool
	now     time.Time
	lives   map[string]*lifeModel
	entries map[string]cwroute.Endpoint
	open    []openRequest
}

// openRequest is a request whose response has not arrived.
type openRequest struct {
	placement *cwplacement.Placement
	life      *lifeModel
	placedAt  time.Time
}

// TestAnnouncementSchedule guards against a request to an endpoint that is leaving or in a pause, and
// against a rush at the end of a pause, for any order of responses and of changes of the entries.
func TestAnnouncementSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &announcementModel{
			pool: cwplacement.NewPool(cwroute.Service{}, "a", rand.New(rand.NewPCG(1, 1))),
			now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), lives: make(map[string]*lifeModel), entries: make(map[string]cwroute.Endpoint),
		}
		for n := range 3 {
			m.restart(fmt.Sprint("e", n))
		}
		for range announcementSteps {
			id := fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.pool.Retain(func(other string) bool { return other != id })
			case 1:
				m.register(id)
			case 2:
				entry := m.entries[id]
				entry.Address += "0"
				m.entries[id] = entry
				m.register(id)
			case 3:
				m.restart(id)
			case 4, 5, 6:
				m.place(t)
			case 7, 8:
				m.respond(t)
			case 9:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		}
	})
}

// restart begins a new life of an endpoint.
func (m *announcementModel) restart(id string) {
	startedAt := int64(1)
	if before := m.lives[id]; before != nil {
		startedAt = before.startedAt + 1
	}
	m.lives[id] = &lifeModel{id: id, startedAt: startedAt}
	m.entries[id] = cwroute.Endpoint{ID: id, StartedAtMillis: startedAt, Address: "10.0.0.1:8", Domain: "a", Slots: 8}
	m.register(id)
}

func (m *announcementModel) register(id string) {
	m.pool.Register(m.entries[id], "north", false, m.now, time.Time{})
}

// place places a request and checks that its endpoint wants it.
func (m *announcementModel) place(t *rapid.T) {
	d := m.pool.Decide(&cwplacement.Request{
		Requirements:   cwplacement.Requirements{FirstByteTarget: time.Second, FirstByteTimeout: 5 * time.Second},
		IsLocalAllowed: true, WasTried: func(string) bool { return false },
	}, m.now)
	if d.Action != cwplacement.ActionSend {
		return
	}
	l := m.lives[d.Placement.EndpointID]
	if l.isLeaving {
		t.Fatalf("request to %s, which is leaving", l.id)
	}
	if m.now.Before(l.pausedUntil) {
		t.Fatalf("request to %s, which wants none for %v", l.id, l.pausedUntil.Sub(m.now))
	}
	if !l.pausedUntil.IsZero() {
		l.returns = append(l.returns, m.now)
		if n := len(l.returns) - maxReturnRequests - 1; n >= 0 && m.now.Sub(l.returns[n]) < returnWindow {
			t.Fatalf("%d requests to %s within %v, before it has answered one after its pause", maxReturnRequests+1, l.id, m.now.Sub(l.returns[n]))
		}
	}
	m.open = append(m.open, openRequest{d.Placement, l, m.now})
}

// respond lets the response to a request arrive.
func (m *announcementModel) respond(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.open)-1).Draw(t, "response")
	r := m.open[n]
	m.open = append(m.open[:n:n], m.open[n+1:]...)
	e, l := r.placement.Endpoint, r.life
	switch rapid.IntRange(0, 3).Draw(t, "statement") {
	case 0:
		e.AnnounceLeaving()
		l.isLeaving = true
	case 1:
		pause := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
		e.AnnouncePause(pause, m.now)
		if until := m.now.Add(pause); until.After(l.pausedUntil) {
			l.pausedUntil, l.returns = until, nil
		}
	default:
		e.EndReturn(r.placedAt)
		if !r.placedAt.Before(l.pausedUntil) {
			l.pausedUntil, l.returns = time.Time{}, nil
		}
	}
	r.placement.OnEnd(cwplacement.Served, m.now)
}
