package cwplacement

import (
	"math"
	"time"
)

// measurementTimeConstant is the time in which what a meter saw loses most of its weight. An engine
// answers some requests a second, so that a dozen answers count.
const measurementTimeConstant = 4 * time.Second

// Measurement is an amount of work and the time that it took. What several instances
// measured of one endpoint adds up.
type Measurement struct {
	// Amount is in units of the work, and Seconds the time that it took.
	Amount, Seconds float64
}

// Add returns the sum.
func (m Measurement) Add(other Measurement) Measurement {
	return Measurement{Amount: m.Amount + other.Amount, Seconds: m.Seconds + other.Seconds}
}

// meter learns a rate of work from what this instance and the others measure.
type meter struct {
	// rate is the amount per second.
	rate float64
	// baselineRate is the rate of some time; it weighs inertia seconds against what was
	// measured lately.
	baselineRate    float64
	baselineSeconds float64
	own             Measurement
	ownAt           time.Time
	peers           Measurement
	updatedAt       time.Time
}

// baselineTimeConstant is the time in which the usual rate follows the latest one. It is longer
// than most disturbances, and shorter than the life of an engine.
const baselineTimeConstant = 10 * time.Second

func newMeter(rate, inertia float64) meter {
	return meter{rate: rate, baselineRate: rate, baselineSeconds: inertia}
}

// record takes in a measurement of this instance.
func (m *meter) record(amount, seconds float64, now time.Time) {
	m.own = m.decayedOwn(now).Add(Measurement{Amount: amount, Seconds: seconds})
	m.ownAt = now
	m.update(now)
}

// setPeers takes in what the other instances measured lately.
func (m *meter) setPeers(others Measurement, now time.Time) {
	m.peers = others
	m.update(now)
}

// decayedOwn returns what this instance measured, older measurements weighing less.
func (m *meter) decayedOwn(now time.Time) Measurement {
	if m.own.Seconds == 0 {
		return Measurement{}
	}
	kept := math.Exp(-now.Sub(m.ownAt).Seconds() / measurementTimeConstant.Seconds())
	return Measurement{Amount: kept * m.own.Amount, Seconds: kept * m.own.Seconds}
}

func (m *meter) update(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.baselineRate += (m.rate - m.baselineRate) * (1 - math.Exp(-now.Sub(m.updatedAt).Seconds()/baselineTimeConstant.Seconds()))
	}
	m.updatedAt = now
	all := m.decayedOwn(now).Add(m.peers)
	m.rate = (m.baselineRate*m.baselineSeconds + all.Amount) / (m.baselineSeconds + all.Seconds)
}
