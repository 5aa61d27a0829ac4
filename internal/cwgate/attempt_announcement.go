package cwgate

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
)

// recordAnnouncement records whether the endpoint that created the response is leaving or wants a
// pause. In the response to a relayed request it names an endpoint that is leaving, for the instance
// that relayed it.
func (a *attempt) recordAnnouncement(head ResponseHead, response *http.Response) {
	if head.IsOtherEndpoint {
		return
	}
	if a.placement == nil {
		a.recordRelayedLeaving(head.LeavingEndpoint)
		return
	}
	if head.IsLeaving {
		a.recordLeaving()
		if a.req.IsRelayed {
			a.codec.EncodeLeavingEndpoint(response.Header, EndpointLife{ID: a.placement.EndpointID, StartedAtMillis: a.placement.StartedAtMillis})
		}
	}
	if response.StatusCode == http.StatusServiceUnavailable && head.Pause > 0 {
		a.recordPause(head.Pause)
		return
	}
	a.recordReturn()
}

// recordReturn records that the endpoint of the attempt has answered without asking for a pause.
func (a *attempt) recordReturn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placement.Endpoint.EndReturn(a.startedAt) {
		a.Log.Info("endpoint has returned from its pause", zap.String("endpoint", a.placement.EndpointID))
	}
}

// recordLeaving records that the endpoint of the attempt is leaving.
func (a *attempt) recordLeaving() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placement.Endpoint.AnnounceLeaving() {
		a.logLeaving(a.placement.EndpointID, "response", zap.String("request", a.req.ID))
	}
}

// recordRelayedLeaving records which endpoint is leaving according to the response of another
// instance of its region. This instance passes the response on, and may send the endpoint requests
// itself.
func (a *attempt) recordRelayedLeaving(l EndpointLife) {
	if l.ID == "" || a.site.RegionByDomain[a.exitDomain] != a.site.Region {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.pools[a.req.service]; p != nil && p.AnnounceLeaving(l.ID, l.StartedAtMillis) {
		a.logLeaving(l.ID, "relayedResponse", zap.String("request", a.req.ID))
	}
}

// mergeLeaving records which endpoints are leaving according to another instance of the region. The
// caller holds mu.
func (g *Gate) mergeLeaving(peer *cwcontrol.PeerWork) {
	for i := range peer.EndpointWork {
		w := &peer.EndpointWork[i]
		entry := g.view.Endpoints[w.Endpoint]
		if !w.IsLeaving || entry.IsDraining && entry.StartedAtMillis == w.StartedAtMillis {
			continue
		}
		if p := g.pools[entry.Service]; p != nil && p.AnnounceLeaving(w.Endpoint, w.StartedAtMillis) {
			g.logLeaving(w.Endpoint, "peer")
		}
	}
}

// recordPause records that the endpoint of the attempt wants a pause.
func (a *attempt) recordPause(pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placement.Endpoint.AnnouncePause(pause, time.Now()) {
		a.metrics.countAnnouncement("pause")
		a.Log.Info("endpoint wants a pause", zap.String("endpoint", a.placement.EndpointID), zap.Duration("pause", pause), zap.String("request", a.req.ID))
	}
}

// checkWanted returns an error if the endpoint takes no new requests since the attempt was placed.
func (a *attempt) checkWanted() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.placement.Endpoint; e.HasStartedDraining() || e.IsEvacuated || e.PauseLeft(time.Now()) > 0 {
		return errUnwanted
	}
	return nil
}

// logLeaving logs that an endpoint is leaving. The source is "response", "relayedResponse" if the
// response came by another instance, or "peer" if another instance reported it.
func (g *Gate) logLeaving(id, source string, fields ...zap.Field) {
	g.metrics.countAnnouncement("leaving")
	g.Log.Info("endpoint is leaving", append(fields, zap.String("endpoint", id), zap.String("source", source))...)
}
