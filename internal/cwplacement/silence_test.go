package cwplacement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestSilentEndpointIsNotLost guards against an endpoint that was silent for a second or so and
// is excluded, avoided or treated as restarted after its return. One that was silent for longer,
// or that has refused a connection, may have restarted and is cold.
func TestSilentEndpointIsNotLost(t *testing.T) {
	for _, sc := range []struct {
		name string
		// redials are the times at which redials of an endpoint that is silent from 0 on end.
		redials   []time.Duration
		isRefused bool
		isCold    bool
	}{
		{"a second", []time.Duration{800 * time.Millisecond, 1050 * time.Millisecond}, false, false},
		{"a second and a half", []time.Duration{800 * time.Millisecond, 1050 * time.Millisecond, 1300 * time.Millisecond, 1550 * time.Millisecond}, false, false},
		{"two seconds", []time.Duration{800 * time.Millisecond, 1050 * time.Millisecond, cwplacement.MaxSoundSilence}, false, true},
		{"a second, refused at its end", []time.Duration{800 * time.Millisecond, 1050 * time.Millisecond}, true, true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			m := newEmulator(1, 50_000)
			p := m.instances[0]
			p.Service.ColdRate = 2
			e := p.Endpoints()["engine-0"]
			p.Register(e.Endpoint, "north", true, m.now, m.now)
			start := m.now
			for _, at := range sc.redials {
				m.now = start.Add(at)
				e.MarkSilent(start, m.now)
				is.True(!e.IsUsable(m.now))
				isLost := at >= cwplacement.MaxSoundSilence
				is.Equal(p.AwaitsReturn(never, m.now), !isLost)
				d := m.arrive(m.sharedPromptRequests(1)())
				is.Equal(d.Action, cwplacement.ActionRefuse)
				is.Equal(d.IsReturnExpected, !isLost)
			}
			if sc.isRefused {
				e.MarkRefused(m.now)
				is.True(!p.AwaitsReturn(never, m.now))
			}
			m.now = m.now.Add(time.Millisecond)
			e.MarkReachable(m.now)
			is.True(e.IsUsable(m.now))
			is.Equal(e.IsCold(m.now), sc.isCold)
			is.Equal(e.FailureRate(m.now) > 0, sc.isCold)
		})
	}
}

// TestSilenceIsNoServiceTime guards against requests that are refused after a silence because
// the responses which waited through it count as the time that an endpoint takes.
func TestSilenceIsNoServiceTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := cwplacement.NewPool(cwroute.Service{Name: "plain"}, "a", rand.New(rand.NewPCG(1, 2)))
	e := p.Register(cwroute.Endpoint{ID: "e", Service: "plain", Domain: "a", Slots: 8}, "north", true, now, now)
	decide := func() cwplacement.Decision {
		return p.Decide(&cwplacement.Request{
			Requirements: cwplacement.Requirements{FirstByteTarget: time.Second, FirstByteTimeout: 5 * time.Second},
			Priority:     1, IsLocalAllowed: true, WasTried: never, WasDomainTried: never,
		}, now)
	}
	waiting := decide()
	e.MarkSilent(now, now.Add(800*time.Millisecond))
	now = now.Add(1500 * time.Millisecond)
	e.MarkReachable(now)
	waiting.Placement.OnEnd(cwplacement.Served, now)
	is.Equal(decide().LocalFirstByte, waiting.LocalFirstByte)
}
