package cwgate

import "go.uber.org/zap"

const (
	// maxLoggedSkips is the largest number of skipped responses that are logged for one attempt; all are
	// counted.
	maxLoggedSkips = 3
	// maxLoggedIDBytes is the length to which an identifier that a peer sent is cut in the log.
	maxLoggedIDBytes = 64
)

// recordSkipped counts and logs a response that came in the attempt and belongs to another request.
func (a *attempt) recordSkipped(status int, field func(name string) string) {
	named := a.codec.DecodeResponseID(field)
	a.metrics.countSkipped(named != "")
	a.skippedResponses++
	if a.skippedResponses > maxLoggedSkips {
		return
	}
	a.Log.Warn("response belongs to another request", zap.String("request", a.req.ID), zap.String("place", a.placeName()), zap.String("address", a.address),
		zap.Int("status", status), zap.String("named", named[:min(len(named), maxLoggedIDBytes)]))
}
