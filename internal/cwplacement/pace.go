package cwplacement

import (
	"time"
)

const (
	// stepPromptTokens is the number of prompt tokens that an engine processes between two
	// tokens of its streams: the usual chunk of engines that process prompts in chunks.
	stepPromptTokens = 2048
	// harmlessPauseShare and certainPauseShare are the shares of the longest pause that callers
	// expect up to which a predicted pause is no risk, and from which it is counted as too long:
	// engines slow down for moments, and the longer a prompt is the slower they process it.
	harmlessPauseShare, certainPauseShare = 0.25, 0.6
	// causedPauseCostSeconds is the cost of a pause that is too long in one running stream of an
	// endpoint, and ownPauseCostSeconds that of a stream at an endpoint which processes prompts
	// all the time. A late stream costs its caller about as much as a late first byte.
	causedPauseCostSeconds, ownPauseCostSeconds = 0.05, 1.0
	// maxPaceCostSeconds bounds the cost, so that pauses decide between similar endpoints: not
	// against a cached prompt, a degraded endpoint or a long wait.
	maxPaceCostSeconds = 0.3
	// disturbedStreamDuration is the duration from which a stream meets the prompts that an
	// endpoint processes meanwhile.
	disturbedStreamDuration = 2 * time.Second
)

// paceCost returns the cost, in weighted seconds, of the pauses between events that come with a
// request at the endpoint: its prompt holds up the streams that run there, and the prompts of
// others hold up its own. So long prompts and long streams use different endpoints while there is
// room for it.
func (e *Endpoint) paceCost(rs *Requirements, expected prediction, now time.Time) float64 {
	if rs.MaxEventGap <= 0 || e.engine == nil {
		return 0
	}
	caused := e.pauseRisk(rs, float64(expected.uncachedTokens)) * float64(e.totalWork(now).InFlight)
	own := e.promptShare(now) * min(expected.restSeconds/disturbedStreamDuration.Seconds(), 1) * e.pauseRisk(rs, maxEventPromptTokens(e))
	return min(causedPauseCostSeconds*caused+ownPauseCostSeconds*own, maxPaceCostSeconds)
}

// maxEventPromptTokens returns the largest number of prompt tokens that the endpoint processes
// between two events of a stream.
func maxEventPromptTokens(e *Endpoint) float64 {
	return float64(max(e.engine.EventTokens, 1)) * stepPromptTokens
}

// pauseRisk returns, from 0 to 1, how likely a pause is longer than callers expect while the
// endpoint processes the prompt tokens.
func (e *Endpoint) pauseRisk(rs *Requirements, tokens float64) float64 {
	pause := min(tokens, maxEventPromptTokens(e)) / e.promptSpeed.rate
	share := pause / rs.MaxEventGap.Seconds()
	return min(max((share-harmlessPauseShare)/(certainPauseShare-harmlessPauseShare), 0), 1)
}

// promptShare returns the share of the recent time, from 0 to 1, in which the endpoint processed
// prompts.
func (e *Endpoint) promptShare(now time.Time) float64 {
	recent := e.promptSpeed.decayedOwn(now).Add(e.promptSpeed.peers)
	return min(recent.Seconds/measurementTimeConstant.Seconds(), 1)
}
