package cwplacement

import (
	"math"
	"time"
)

// meterMemory is the time in which what a meter saw loses most of its weight. An engine
// answers some requests a second, so that a dozen answers count.
const meterMemory = 4 * time.Second

// Measured is an amount of work and the time that it took. What several instances
// measured of one endpoint adds up.
type Measured struct {
	// Amount is in units of the work, and Seconds the time that it took.
	Amount, Seconds float64
}

// Add returns the sum.
func (m Measured) Add(other Measured) Measured {
	return Measured{Amount: m.Amount + other.Amount, Seconds: m.Seconds + other.Seconds}
}

// meter learns a rate of work from what this instance and the others measure.
type meter struct {
	// rate is the amount per second.
	rate float64
	// usual is the rate of some time; it weighs inertia seconds against what was
	// measured lately.
	usual   float64
	inertia float64
	own     Measured
	ownAt   time.Time
	others  Measured
	at      time.Time
}

// usualMemory is the time in which the usual rate follows the latest one. It is longer
// than most disturbances, and shorter than the life of an engine.
const usualMemory = 10 * time.Second

func newMeter(rate, inertia float64) meter {
	return meter{rate: rate, usual: rate, inertia: inertia}
}

// saw takes in a measurement of this instance.
func (m *meter) saw(amount, seconds float64, now time.Time) {
	m.own = m.recent(now).Add(Measured{Amount: amount, Seconds: seconds})
	m.ownAt = now
	m.learn(now)
}

// heard takes in what the other instances measured lately.
func (m *meter) heard(others Measured, now time.Time) {
	m.others = others
	m.learn(now)
}

// recent returns what this instance measured, older measurements weighing less.
func (m *meter) recent(now time.Time) Measured {
	if m.own.Seconds == 0 {
		return Measured{}
	}
	kept := math.Exp(-now.Sub(m.ownAt).Seconds() / meterMemory.Seconds())
	return Measured{Amount: kept * m.own.Amount, Seconds: kept * m.own.Seconds}
}

func (m *meter) learn(now time.Time) {
	if !m.at.IsZero() {
		m.usual += (m.rate - m.usual) * (1 - math.Exp(-now.Sub(m.at).Seconds()/usualMemory.Seconds()))
	}
	m.at = now
	all := m.recent(now).Add(m.others)
	m.rate = (m.usual*m.inertia + all.Amount) / (m.inertia + all.Seconds)
}
