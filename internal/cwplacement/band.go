package cwplacement

import (
	"math"
	"time"
)

// Band is the scheduling priority of work at an engine. Work of a lower band goes first.
type Band int

const (
	// UrgentLight is work of the most urgent rank that is expected on time and takes a small part
	// of its target.
	UrgentLight Band = iota
	// Urgent is other work of that rank that is expected on time.
	Urgent
	// NormalLight is light work of the other ranks that is expected on time.
	NormalLight
	// Normal is other work of these ranks that is expected on time.
	Normal
	// Late is work that is expected to miss its target. It gets the capacity that the
	// other bands leave, so that it delays no other work.
	Late

	bandCount = 5
)

// lightTargetShare is the share of the target up to which the processing of a prompt is light. Light
// work goes before other work of its rank: it delays that by little, while behind a long prompt it
// would itself be late.
const lightTargetShare = 0.05

// bandOf returns the band of a request that is on time, by its rank and by the share of its target
// that its prompt takes.
func bandOf(priority int, targetShare float64) Band {
	isLight := targetShare <= lightTargetShare
	switch {
	case priority == 0 && isLight:
		return UrgentLight
	case priority == 0:
		return Urgent
	case isLight:
		return NormalLight
	}
	return Normal
}

// unloadedSpeedTimeConstant is the time constant with which the highest mean speed of the endpoints is
// forgotten. It is longer than most crowds.
const unloadedSpeedTimeConstant = 2 * time.Minute

// unloadedSpeed is the highest recent mean speed of the endpoints, in prompt tokens per second.
// Under load measured speeds include the time that prompts wait for each other; a prompt is no less
// light then.
type unloadedSpeed struct {
	rate float64
	at   time.Time
}

// record records the mean speed.
func (s *unloadedSpeed) record(mean float64, now time.Time) {
	if s.rate > 0 {
		s.rate *= math.Exp(-now.Sub(s.at).Seconds() / unloadedSpeedTimeConstant.Seconds())
	}
	s.rate, s.at = max(s.rate, mean), now
}

// targetShare returns the share of the target that the prompt of the request takes at the mean speed
// of the endpoints without load.
func (p *Pool) targetShare(rs *Requirements) float64 {
	if rs.FirstByteTarget <= 0 {
		return 0
	}
	return float64(rs.PromptTokens) / max(p.meanPromptSpeed(), p.unloadedSpeed.rate) / rs.FirstByteTarget.Seconds()
}
