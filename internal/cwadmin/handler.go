// Package cwadmin implements the read-only operator interface of an instance: health,
// status, metrics, error budget burn, explanations of routing decisions, and profiles.
package cwadmin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
)

// Handler serves the operator interface of an instance that does not run on the users'
// platform.
type Handler struct {
	*cwcommon.Common
	control    *cwcontrol.Control
	dispatcher *cwdispatch.Dispatcher
	burn       *cwburn.Recorder
	metrics    http.Handler
}

// NewHandler returns a Handler that serves /metrics with metrics.
func NewHandler(common *cwcommon.Common, control *cwcontrol.Control, dispatcher *cwdispatch.Dispatcher, burn *cwburn.Recorder, metrics http.Handler) *Handler {
	return &Handler{Common: common, control: control, dispatcher: dispatcher, burn: burn, metrics: metrics}
}

// Mux returns the routes of the operator interface. All of them are read-only.
func (h *Handler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.Handle("GET /metrics", h.metrics)
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.burn.Report(time.Now())) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Status(time.Now())) })
	mux.HandleFunc("GET /explain", h.serveExplain)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.control.Snapshot().IsReady {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	explanation, err := h.dispatcher.Explain(q.Get("service"), q.Get("account"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// Encoding fails only if the operator has disconnected, so the error is ignored.
	_ = enc.Encode(v)
}
