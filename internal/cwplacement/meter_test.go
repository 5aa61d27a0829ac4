package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestSpeedIsKnownToAllInstances: one instance finds an engine slow, and another one
// that never used it predicts by that once it is told.
func TestSpeedIsKnownToAllInstances(t *testing.T) {
	is := is.New(t)
	m := newEmulator(2, 10_000)
	first, second := m.instances[0], m.instances[1]
	demand := m.unshared()
	for range 5 {
		demand := demand()
		demand.FirstByteTarget = 2 * time.Second // late work tells nothing of the speed
		d := first.Decide(&cwplacement.Request{Requirements: demand, IsLocalAllowed: true, WasTried: never, IsExcluded: never}, m.now)
		m.now = m.now.Add(925 * time.Millisecond) // 9,000 tokens and the way there and back
		d.Placement.OnFirstByte(m.now)
		d.Placement.OnEnd(cwplacement.Served, m.now)
	}
	for range 3 { // exchanges within a second
		m.tell()
	}
	for _, p := range []*cwplacement.Pool{first, second} {
		speed := p.Endpoints()["engine-0"].PromptSpeed()
		is.True(speed > 9_000 && speed < 11_500)
	}
}

// TestSpeedFollowsAChange: an engine that turns five times slower is known to be slow
// after a few answers.
func TestSpeedFollowsAChange(t *testing.T) {
	is := is.New(t)
	m := newEmulator(1, 50_000)
	p := m.instances[0]
	demand := m.unshared()
	serve := func(n int, took time.Duration) {
		for range n {
			d := p.Decide(&cwplacement.Request{Requirements: demand(), IsLocalAllowed: true, WasTried: never, IsExcluded: never}, m.now)
			m.now = m.now.Add(took + 25*time.Millisecond)
			d.Placement.OnFirstByte(m.now)
			d.Placement.OnEnd(cwplacement.Served, m.now)
		}
	}
	serve(10, 180*time.Millisecond)
	is.True(p.Endpoints()["engine-0"].PromptSpeed() > 45_000)
	serve(4, 900*time.Millisecond)
	is.True(p.Endpoints()["engine-0"].PromptSpeed() < 20_000)
}
