package cwplacement

import (
	"math"
	"time"
)

// measurementTimeConstant is the time constant of the exponential decay of a
// measurement's weight. An engine answers a few requests per second, so that about a
// dozen responses count.
const measurementTimeConstant = 4 * time.Second

// Measurement is an amount of work and the time that it took. Measurements of one
// endpoint by several instances can be added.
type Measurement struct {
	// Amount is in units of the work, and Seconds the time that it took.
	Amount, Seconds float64
}

// Add returns the sum.
func (m Measurement) Add(other Measurement) Measurement {
	return Measurement{Amount: m.Amount + other.Amount, Seconds: m.Seconds + other.Seconds}
}

// meter estimates a rate of work from the measurements of this instance and its peers.
type meter struct {
	// rate is the estimated amount per second.
	rate float64
	// baselineRate is the long-term rate. It counts as much as baselineSeconds of recent
	// measurements.
	baselineRate    float64
	baselineSeconds float64
	// own is the decayed sum of this instance's measurements, as of ownAt.
	own   Measurement
	ownAt time.Time
	// peers is the sum of the recent measurements of the peers.
	peers     Measurement
	updatedAt time.Time
}

// baselineTimeConstant is the time constant with which the baseline rate follows the
// estimated rate. It is longer than most disturbances, and shorter than the lifetime of
// an engine.
const baselineTimeConstant = 10 * time.Second

func newMeter(rate, baselineSeconds float64) meter {
	return meter{rate: rate, baselineRate: rate, baselineSeconds: baselineSeconds}
}

// record adds a measurement of this instance.
func (m *meter) record(amount, seconds float64, now time.Time) {
	m.own = m.decayedOwn(now).Add(Measurement{Amount: amount, Seconds: seconds})
	m.ownAt = now
	m.update(now)
}

// setPeers sets the recent measurements of the peers.
func (m *meter) setPeers(peers Measurement, now time.Time) {
	m.peers = peers
	m.update(now)
}

// decayedOwn returns the measurements of this instance; older ones have less weight.
func (m *meter) decayedOwn(now time.Time) Measurement {
	if m.own.Seconds == 0 {
		return Measurement{}
	}
	weight := math.Exp(-now.Sub(m.ownAt).Seconds() / measurementTimeConstant.Seconds())
	return Measurement{Amount: weight * m.own.Amount, Seconds: weight * m.own.Seconds}
}

// update moves the baseline rate towards the rate so far, and estimates the rate anew.
func (m *meter) update(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.baselineRate += (m.rate - m.baselineRate) * (1 - math.Exp(-now.Sub(m.updatedAt).Seconds()/baselineTimeConstant.Seconds()))
	}
	m.updatedAt = now
	all := m.decayedOwn(now).Add(m.peers)
	m.rate = (m.baselineRate*m.baselineSeconds + all.Amount) / (m.baselineSeconds + all.Seconds)
}
