package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestPromptSpeedIsSharedBetweenInstances guards against an instance that predicts with
// the initial speed for an engine which it never used. One instance measures a slow
// engine, and another one uses that speed after the exchange.
func TestPromptSpeedIsSharedBetweenInstances(t *testing.T) {
	is := is.New(t)
	m := newEmulator(2, 10_000)
	first, second := m.instances[0], m.instances[1]
	requirements := m.unsharedRequests()
	for range 5 {
		requirements := requirements()
		requirements.FirstByteTarget = 2 * time.Second // late work is no measure of the speed
		d := first.Decide(&cwplacement.Request{Requirements: requirements, IsLocalAllowed: true, WasTried: never, WasDomainTried: never}, m.now)
		m.now = m.now.Add(925 * time.Millisecond) // 9,000 tokens and the overhead of a first token
		d.Placement.OnFirstByte(m.now)
		d.Placement.OnEnd(cwplacement.Served, m.now)
	}
	for range 3 { // the number of exchanges in a second
		m.exchange()
	}
	for _, p := range []*cwplacement.Pool{first, second} {
		speed := p.Endpoints()["engine-0"].PromptSpeed()
		is.True(speed > 9_000 && speed < 11_500)
	}
}

// TestPromptSpeedFollowsChange guards against a measured speed that stays high when an
// engine becomes five times slower. A few responses must be enough to lower it.
func TestPromptSpeedFollowsChange(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 50_000)
	p := m.instances[0]
	next := m.unsharedRequests()
	serve := func(n int, promptTime time.Duration) {
		for range n {
			d := p.Decide(&cwplacement.Request{Requirements: next(), IsLocalAllowed: true, WasTried: never, WasDomainTried: never}, m.now)
			m.now = m.now.Add(promptTime + 25*time.Millisecond)
			d.Placement.OnFirstByte(m.now)
			d.Placement.OnEnd(cwplacement.Served, m.now)
		}
	}
	serve(10, 180*time.Millisecond)
	is.True(p.Endpoints()["engine-0"].PromptSpeed() > 45_000)
	serve(4, 900*time.Millisecond)
	is.True(p.Endpoints()["engine-0"].PromptSpeed() < 20_000)
}
