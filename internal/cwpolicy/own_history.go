package cwpolicy

import "time"

const maxOwnLoadSamples = 32

// ownLoadHistory remembers how much of this instance's own work an endpoint held at
// recent times, so that a late report can be split into own work and that of
// others.
type ownLoadHistory struct {
	samples [maxOwnLoadSamples]ownLoadSample
	next    int
}

type ownLoadSample struct {
	recordedAt    time.Time
	waitingTokens int
	inFlight      int
}

func (h *ownLoadHistory) record(at time.Time, waiting, inFlight int) {
	h.samples[h.next] = ownLoadSample{recordedAt: at, waitingTokens: waiting, inFlight: inFlight}
	h.next = (h.next + 1) % maxOwnLoadSamples
}

// at returns the latest mark that is not after the time, or the oldest one.
func (h *ownLoadHistory) at(t time.Time) ownLoadSample {
	oldest := ownLoadSample{}
	for i := 1; i <= maxOwnLoadSamples; i++ {
		m := h.samples[(h.next+maxOwnLoadSamples-i)%maxOwnLoadSamples]
		if m.recordedAt.IsZero() {
			break
		}
		if !m.recordedAt.After(t) {
			return m
		}
		oldest = m
	}
	return oldest
}
