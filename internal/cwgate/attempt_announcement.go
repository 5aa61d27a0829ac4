package cwgate

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// recordAnnouncement records whether the endpoint of the attempt is leaving or wants a pause.
// Responses of other instances are passed on unrecorded: only instances of the endpoint's region
// send it requests.
func (a *attempt) recordAnnouncement(head ResponseHead, status int) {
	isPause := status == http.StatusServiceUnavailable && head.Pause > 0
	if a.placement == nil || head.IsOtherEndpoint || !head.IsLeaving && !isPause {
		return
	}
	now, e := time.Now(), a.placement.Endpoint
	a.mu.Lock()
	defer a.mu.Unlock()
	if head.IsLeaving && e.AnnounceLeaving() {
		a.metrics.countAnnouncement("leaving")
		a.Log.Info("endpoint is leaving", zap.String("endpoint", a.placement.EndpointID), zap.String("source", "response"))
	}
	if isPause && e.AnnouncePause(head.Pause, now) {
		a.metrics.countAnnouncement("pause")
		a.Log.Info("endpoint wants a pause", zap.String("endpoint", a.placement.EndpointID), zap.Duration("pause", head.Pause))
	}
}
