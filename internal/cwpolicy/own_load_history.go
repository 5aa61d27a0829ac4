package cwpolicy

import "time"

const maxOwnLoadSamples = 32

// ownLoadHistory records the recent load that this instance put on an endpoint.
// With it, a delayed load report is split into the load of this instance and that
// of others.
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

// at returns the latest sample taken no later than the time, or else the oldest
// sample. Without samples it returns a zero one.
func (h *ownLoadHistory) at(t time.Time) ownLoadSample {
	oldest := ownLoadSample{}
	for i := 1; i <= maxOwnLoadSamples; i++ {
		sample := h.samples[(h.next+maxOwnLoadSamples-i)%maxOwnLoadSamples]
		if sample.recordedAt.IsZero() {
			break
		}
		if !sample.recordedAt.After(t) {
			return sample
		}
		oldest = sample
	}
	return oldest
}
