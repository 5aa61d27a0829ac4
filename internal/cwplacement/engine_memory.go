package cwplacement

// memoryReserveShare is the share of an engine's memory that long prompts of the other ranks leave to
// the most urgent one and to light work, which would else preempt them.
const memoryReserveShare = 0.1

// memoryShortage returns the tokens by which the memory of the engine would be exceeded if a request
// in the band ran after waitSeconds, and the time until that much is free. Requests hold their prompt
// from their start and their output as it grows; what they hold at their end counts, so that none has
// to be preempted meanwhile. Until the request runs some of the others end, and more urgent ones take
// part of their memory.
func (e *Endpoint) memoryShortage(rs *Requirements, w *Work, band Band, waitSeconds float64) (tokens, seconds float64) {
	memory := float64(e.engine.MemoryTokens)
	needed := w.HeldTokens + float64(rs.PromptTokens+rs.OutputTokens)
	if memory <= 0 || needed <= memory*(1-memoryReserveShare) {
		return 0, 0
	}
	freedPerSecond := min(w.HeldTokens, memory) / max(e.mix.memorySeconds(e.eventRate.rate), reportLag.Seconds())
	if band >= Normal {
		memory *= 1 - memoryReserveShare
	}
	tokens = needed - memory - waitSeconds*freedPerSecond*(1-e.mix.ahead[band])
	if tokens <= 0 {
		return 0, 0
	}
	return tokens, tokens / max(freedPerSecond, 1)
}
