// Package cwentry serves requests of callers.
package cwentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwserver"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Handler serves the caller interface.
type Handler struct {
	*cwcommon.Common
	control    *cwcontrol.Control
	dispatcher *cwdispatch.Dispatcher
	burn       *cwburn.Recorder
	metrics    *requestMetrics
}

// NewHandler returns a handler that records the results of requests in burn.
func NewHandler(common *cwcommon.Common, control *cwcontrol.Control, dispatcher *cwdispatch.Dispatcher, burn *cwburn.Recorder) *Handler {
	return &Handler{
		Common: common, control: control, dispatcher: dispatcher, burn: burn,
		metrics: newRequestMetrics(common.Metrics),
	}
}

// Mux returns the routes of the caller interface.
func (h *Handler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", h.serveInstances)
	mux.HandleFunc("POST /v1/tickets", h.serveTickets)
	mux.HandleFunc("/services/{service}/{path...}", h.serveRequest)
	mux.HandleFunc("/", h.serveUnknown)
	return mux
}

func (h *Handler) serveUnknown(w http.ResponseWriter, _ *http.Request) {
	h.newProblem(http.StatusNotFound, "no-such-path", "paths begin with /services/, or are /v1/instances and /v1/tickets").Write(w)
}

func (h *Handler) newProblem(status int, kind, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(status, kind, cwanswer.NotRun, detail).WithOrigin("entry", h.Settings.CallerAddress)
}

// authorize returns the service with the name and the account of the request's key,
// or a problem if the account may not call the service.
func (h *Handler) authorize(s *cwcontrol.Snapshot, r *http.Request, name string) (*cwservice.Service, *cwservice.Account, *cwanswer.Problem) {
	if s.Config == nil {
		return nil, nil, h.newProblem(http.StatusServiceUnavailable, "not-ready", "no configuration has arrived yet").WithRetryAfterSeconds(1)
	}
	account := findAccount(s, r)
	if account == nil {
		return nil, nil, h.newProblem(http.StatusUnauthorized, "no-account", "the key is missing or not known")
	}
	service := s.Config.Service(name)
	if service == nil {
		return nil, nil, h.newProblem(http.StatusNotFound, "no-service", "the service is not known")
	}
	if !account.MayCall(name) {
		return nil, nil, h.newProblem(http.StatusForbidden, "not-allowed", "the account may not call the service")
	}
	return service, account, nil
}

func findAccount(s *cwcontrol.Snapshot, r *http.Request) *cwservice.Account {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil
	}
	return s.Config.AccountByKeyHash(cwservice.HashKey(key))
}

// serveRequest serves one request of a caller.
func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	requestID := cwdispatch.NewID()
	w.Header().Set(cwanswer.HeaderRequestID, requestID)
	w.Header().Set(cwanswer.HeaderInstance, h.Settings.CallerAddress)
	s := h.control.Snapshot()
	if s.Self.IsLeaving {
		w.Header().Set(cwanswer.HeaderLeaving, "true")
		w.Header().Set("Connection", "close")
	}
	job, problem := h.admit(s, r)
	if problem != nil {
		h.refuse(w, r, requestID, problem)
		return
	}
	job.RequestID = requestID
	if !h.dispatcher.BeginRequest(job.Account.Name, job.Service.Limits.AccountStreams) {
		h.refuse(w, r, requestID, h.newProblem(http.StatusTooManyRequests, "too-many-streams", "the account has too many requests in flight").WithRetryAfterSeconds(1))
		return
	}
	defer h.dispatcher.EndRequest(job.Account.Name)
	if job.Body, problem = h.readBody(w, r, job.Service); problem != nil {
		h.refuse(w, r, requestID, problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), job.Deadline)
	defer cancel()
	defer cwserver.LimitWrites(ctx, w)()
	result, err := h.serve(ctx, job, newResponseSink(w))
	h.finish(w, job, result, err)
}

func (h *Handler) serve(ctx context.Context, job *cwdispatch.Job, sink cwdispatch.Sink) (*cwdispatch.ServeResult, error) {
	if job.Ticket != "" {
		return h.dispatcher.ServeTicket(ctx, job, sink)
	}
	return h.dispatcher.Serve(ctx, job, sink)
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, requestID string, p *cwanswer.Problem) {
	p.RequestID = requestID
	if _, err := cwpolicy.ParseTicket(r.Header.Get(cwanswer.HeaderTicket)); err == nil {
		// An earlier request with the ticket may have run.
		p.Outcome = cwanswer.Unknown
	}
	h.metrics.recordRefusal(p)
	h.logRefusal(r, p)
	p.Write(w)
}

// finish records the result of the request and sends the problem, if any. It panics
// with http.ErrAbortHandler if the response is truncated.
func (h *Handler) finish(w http.ResponseWriter, job *cwdispatch.Job, result *cwdispatch.ServeResult, err error) {
	h.observeRequest(job, result, err)
	h.logRequest(job, result, err)
	if err == nil {
		return
	}
	if errors.Is(err, cwdispatch.ErrTruncated) {
		// Aborting the connection is the only way to signal that the response, which
		// has already started, is incomplete.
		panic(http.ErrAbortHandler)
	}
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", cwanswer.Unknown, err.Error())
	}
	p.RequestID = job.RequestID
	if p.Outcome == cwanswer.NotRun && p.Instances == nil {
		p.Instances = cwpolicy.RankInstances(h.control.Snapshot().Members, h.Settings.Region, job.AllowedRegions, time.Now())
	}
	p.Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(v)
}
