package cwadmin

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

// RoutedHandler answers operators of an instance on the users' platform.
type RoutedHandler struct {
	*cwcommon.Common
	control *cwcontrol.Control
	state   *cwpublished.State
	gate    *cwgate.Gate
	burn    *cwburn.Recorder
	metrics http.Handler
}

// NewRoutedHandler returns a handler; metrics serves /metrics.
func NewRoutedHandler(common *cwcommon.Common, control *cwcontrol.Control, state *cwpublished.State, gate *cwgate.Gate, burn *cwburn.Recorder, metrics http.Handler) *RoutedHandler {
	return &RoutedHandler{Common: common, control: control, state: state, gate: gate, burn: burn, metrics: metrics}
}

// RoutedStatus is what an instance on the users' platform believes.
type RoutedStatus struct {
	// Incarnation identifies the process life.
	Incarnation uint64 `json:"incarnation"`
	// Region and Domain say where the instance runs.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Ready and Leaving are the instance's own state.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// InFlight is the number of requests that it works on.
	InFlight int `json:"inFlight"`
	// ConfigVersion and Revision are of the published state.
	ConfigVersion uint64 `json:"configVersion"`
	Revision      uint64 `json:"revision"`
	// EvacuatedDomains are the failure domains that get nothing new.
	EvacuatedDomains []string `json:"evacuated"`
	// Peers and Endpoints are what it believes of others.
	Peers     []PeerStatus            `json:"peers"`
	Endpoints []cwgate.EndpointStatus `json:"endpoints"`
}

// Mux returns the routes of the operator interface. All of them only read.
func (h *RoutedHandler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", h.metrics)
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.burn.Report(time.Now())) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status(time.Now())) })
	return mux
}

// Status returns the state at this time.
func (h *RoutedHandler) Status(now time.Time) RoutedStatus {
	s, view := h.control.Snapshot(), h.state.View()
	out := RoutedStatus{
		Incarnation: h.Incarnation, Region: h.Settings.Region, Domain: h.Settings.Domain,
		Ready: s.Ready, Leaving: s.Self.IsLeaving, InFlight: h.gate.InFlight(), Revision: view.Revision,
		EvacuatedDomains: []string{}, Peers: peerStatuses(s, now), Endpoints: h.gate.EndpointStatuses(now),
	}
	if view.Config != nil {
		out.ConfigVersion = view.Config.Version
	}
	for domain := range view.EvacuatedDomains {
		out.EvacuatedDomains = append(out.EvacuatedDomains, domain)
	}
	return out
}
