package cwplacement

import "time"

// mixWeight is the weight of the latest request in the mean of a service's requests.
const mixWeight = 0.02

// maxShareAhead bounds the share of an engine's time that is taken for requests which come later and
// are more urgent.
const maxShareAhead = 0.9

// engineMix is what the requests of a service at engines are like in the mean. From it and the pace
// of an engine follows how fast the engine's slots and its memory become free.
type engineMix struct {
	// ownRequests and peerRequests are the mean numbers of requests of this instance, and of the other
	// ones of the region, that are in progress.
	ownRequests, peerRequests float64
	requests                  int
	// events is the mean number of events of a response, heldTokens that of the tokens that a
	// request holds, and heldEvents that of the events weighted by these tokens.
	events, heldTokens, heldEvents float64
	// tokens is the mean number of tokens to process, and share the share of requests, by band.
	tokens, share [bandCount]float64
	// ahead is the share of the tokens that are processed before those of a band, also if they come
	// later.
	ahead [bandCount]float64
}

// add adds a request that is placed.
func (m *engineMix) add(rs *Requirements, band Band, uncached, eventTokens int) {
	m.requests++
	weight := max(mixWeight, 1/float64(m.requests))
	held := float64(rs.PromptTokens + rs.OutputTokens)
	events := float64(rs.OutputTokens) / float64(max(eventTokens, 1))
	m.events += weight * (events - m.events)
	m.heldTokens += weight * (held - m.heldTokens)
	m.heldEvents += weight * (held*events - m.heldEvents)
	for b := range m.tokens {
		m.tokens[b] -= weight * m.tokens[b]
		m.share[b] -= weight * m.share[b]
	}
	m.tokens[band] += weight * float64(uncached)
	m.share[band] += weight
	all, ahead := 0.0, 0.0
	for _, tokens := range m.tokens {
		all += tokens
	}
	for b, tokens := range m.tokens {
		m.ahead[b] = ahead / max(all, 1)
		ahead += tokens
	}
}

// mixInterval is the number of requests after which what depends on all endpoints is brought up to
// date.
const mixInterval = 8

// recordMix records a request that is placed at an engine.
func (p *Pool) recordMix(c *candidate, rs *Requirements, now time.Time) {
	p.mix.add(rs, c.band, c.prediction.uncachedTokens, c.endpoint.engine.EventTokens)
	if p.mix.requests%mixInterval != 1 {
		return
	}
	p.unloadedSpeed.record(p.meanPromptSpeed(), now)
	own, peers := 0, 0
	for _, e := range p.sorted {
		own += e.ownWork.InFlight
		peers += e.totalWork(now).InFlight - e.ownWork.InFlight
	}
	weight := max(mixWeight*mixInterval, 1/float64(p.mix.requests))
	p.mix.ownRequests += weight * (float64(own) - p.mix.ownRequests)
	p.mix.peerRequests += weight * (float64(peers) - p.mix.peerRequests)
}

// peersPerInstance returns the work of the other instances of the region relative to this one's.
func (m *engineMix) peersPerInstance() float64 {
	return m.peerRequests / max(m.ownRequests, 1)
}

// slotSeconds returns the mean time that a response takes a slot.
func (m *engineMix) slotSeconds(eventsPerSecond float64) float64 {
	return m.events / eventsPerSecond
}

// memorySeconds returns the mean time for which a token is held while responses run.
func (m *engineMix) memorySeconds(eventsPerSecond float64) float64 {
	if m.heldTokens == 0 {
		return 0
	}
	return m.heldEvents / m.heldTokens / eventsPerSecond
}

// requestsBehind returns how many requests whose prompts aren't processed yet are less urgent than
// the band.
func (m *engineMix) requestsBehind(w *Work, band Band) float64 {
	queued, tokens, share := 0.0, 0.0, 0.0
	for b := int(band) + 1; b < bandCount; b++ {
		queued, tokens, share = queued+w.QueuedTokens[b], tokens+m.tokens[b], share+m.share[b]
	}
	if tokens == 0 {
		return 0
	}
	return queued * share / tokens
}
