package cwadmin

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

// RoutedHandler serves the operator interface of an instance that runs on the users'
// platform.
type RoutedHandler struct {
	*cwcommon.Common
	control *cwcontrol.Control
	state   *cwpublished.State
	gate    *cwgate.Gate
	burn    *cwburn.Recorder
	metrics http.Handler
	// parseParts decodes the parts of a prompt as callers write them.
	parseParts PartsParser
}

// NewRoutedHandler returns a RoutedHandler that serves /metrics with metrics and reads the parts of
// prompts with parseParts.
func NewRoutedHandler(common *cwcommon.Common, control *cwcontrol.Control, state *cwpublished.State, gate *cwgate.Gate, burn *cwburn.Recorder, metrics http.Handler, parseParts PartsParser) *RoutedHandler {
	return &RoutedHandler{Common: common, control: control, state: state, gate: gate, burn: burn, metrics: metrics, parseParts: parseParts}
}

// RoutedStatus is the state of an instance that runs on the users' platform, with its
// view of peers and endpoints.
type RoutedStatus struct {
	// Incarnation identifies the run of the process.
	Incarnation uint64 `json:"incarnation"`
	// Region and Domain are the region and failure domain of the instance.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// IsReady reports whether the instance may serve requests, IsLeaving whether it is
	// shutting down.
	IsReady   bool `json:"ready"`
	IsLeaving bool `json:"leaving"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"inFlight"`
	// ConfigVersion is the version of the configuration in force, 0 if there is none.
	// Revision is the revision of the published state.
	ConfigVersion uint64 `json:"configVersion"`
	Revision      uint64 `json:"revision"`
	// Era is the era of the store.
	Era uint64 `json:"era"`
	// EvacuatedDomains are the failure domains that get no new requests.
	EvacuatedDomains []string `json:"evacuated"`
	// Peers and Endpoints are the last known states of the other instances and of the
	// endpoints.
	Peers     []PeerStatus            `json:"peers"`
	Endpoints []cwgate.EndpointStatus `json:"endpoints"`
}

// Mux returns the routes of the operator interface. All of them are read-only, except the one
// that lifts a block.
func (h *RoutedHandler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", h.metrics)
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.burn.Report(time.Now())) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status(time.Now())) })
	mux.HandleFunc("GET /blocks", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.gate.BlockStatuses(time.Now())) })
	mux.HandleFunc("DELETE /blocks/{id}", h.liftBlock)
	mux.HandleFunc("GET /explain", h.explain)
	return mux
}

// liftBlock lifts a block. Only operators on the instance's machine may, since the interface
// also serves those that read metrics from elsewhere.
func (h *RoutedHandler) liftBlock(w http.ResponseWriter, r *http.Request) {
	if !isFromSameMachine(r) {
		http.Error(w, "lift blocks from the instance's machine", http.StatusForbidden)
		return
	}
	id := r.PathValue("id")
	if !h.gate.LiftBlock(id, time.Now()) {
		http.Error(w, "no such block", http.StatusNotFound)
		return
	}
	h.Log.Info("block lifted by an operator", zap.String("block", id), zap.String("remote", r.RemoteAddr))
	w.WriteHeader(http.StatusNoContent)
}

// isFromSameMachine reports whether both ends of the request's connection have the same address.
func isFromSameMachine(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	localIP, _, localErr := net.SplitHostPort(local.String())
	remoteIP, _, remoteErr := net.SplitHostPort(r.RemoteAddr)
	return localErr == nil && remoteErr == nil && localIP == remoteIP
}

// Status returns the status at now.
func (h *RoutedHandler) Status(now time.Time) RoutedStatus {
	s, view := h.control.Snapshot(), h.state.View()
	status := RoutedStatus{
		Incarnation: h.Incarnation, Region: h.Settings.Region, Domain: h.Settings.Domain,
		IsReady: s.IsReady, IsLeaving: s.Self.IsLeaving, InFlight: h.gate.InFlight(), Revision: view.Revision.StoreRevision(), Era: view.Revision.Era(),
		EvacuatedDomains: []string{}, Peers: peerStatuses(s, now), Endpoints: h.gate.EndpointStatuses(now),
	}
	if view.Config != nil {
		status.ConfigVersion = view.Config.Version
	}
	for domain := range view.EvacuatedDomains {
		status.EvacuatedDomains = append(status.EvacuatedDomains, domain)
	}
	return status
}
