// Package cwentry serves callers.
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
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Handler answers callers.
type Handler struct {
	*cwcommon.Common
	control    *cwcontrol.Control
	dispatcher *cwdispatch.Dispatcher
	burn       *cwburn.Recorder
	metrics    *requestMetrics
}

// NewHandler returns a handler that records service levels in burn.
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
	h.problem(http.StatusNotFound, "no-such-path", "paths begin with /services/, or are /v1/instances and /v1/tickets").Write(w)
}

func (h *Handler) problem(status int, kind, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(status, kind, cwanswer.NotRun, detail).At("entry", h.Settings.CallerAddress)
}

// serveInstances tells the caller which instances to use.
func (h *Handler) serveInstances(w http.ResponseWriter, r *http.Request) {
	s := h.control.Snapshot()
	var places cwpolicy.Places
	if name := r.URL.Query().Get("service"); name != "" {
		service := s.Config.Service(name)
		if service == nil {
			h.problem(http.StatusNotFound, "no-service", "the service is not known").Write(w)
			return
		}
		home := ""
		if account := accountOf(s, r); account != nil {
			home = account.Home
		}
		places = cwpolicy.NewPlaces(service.Places, home)
	}
	list := cwanswer.InstanceList{
		Instances:   cwpolicy.RankInstances(s.MembersWithSelf(), h.Settings.Region, places, time.Now()),
		HoldSeconds: cwpolicy.InstanceListHold.Seconds(),
	}
	writeJSON(w, list)
}

// serveTickets issues a ticket for the service that the query names.
func (h *Handler) serveTickets(w http.ResponseWriter, r *http.Request) {
	s := h.control.Snapshot()
	service, account, problem := h.authorize(s, r, r.URL.Query().Get("service"))
	if problem != nil {
		problem.Write(w)
		return
	}
	ticket, ok := h.dispatcher.IssueTicket(service.Name, account.Name)
	if !ok {
		h.leavingProblem(s, nil).Write(w)
		return
	}
	writeJSON(w, cwanswer.TicketGrant{Ticket: ticket, ExpiresInSeconds: cwpolicy.TicketLife.Seconds()})
}

func (h *Handler) authorize(s *cwcontrol.Snapshot, r *http.Request, name string) (*cwservice.Service, *cwservice.Account, *cwanswer.Problem) {
	if s.Config == nil {
		return nil, nil, h.problem(http.StatusServiceUnavailable, "not-ready", "no configuration has arrived yet").After(1)
	}
	account := accountOf(s, r)
	if account == nil {
		return nil, nil, h.problem(http.StatusUnauthorized, "no-account", "the key is missing or not known")
	}
	service := s.Config.Service(name)
	if service == nil {
		return nil, nil, h.problem(http.StatusNotFound, "no-service", "the service is not known")
	}
	if !account.MayCall(name) {
		return nil, nil, h.problem(http.StatusForbidden, "not-allowed", "the account may not call the service")
	}
	return service, account, nil
}

func accountOf(s *cwcontrol.Snapshot, r *http.Request) *cwservice.Account {
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
	if s.Self.Leaving {
		w.Header().Set(cwanswer.HeaderLeaving, "true")
		w.Header().Set("Connection", "close")
	}
	job, problem := h.admit(s, r)
	if problem != nil {
		h.refuse(w, r, requestID, problem)
		return
	}
	job.RequestID = requestID
	if !h.dispatcher.Enter(job.Account.Name, job.Service.Limits.AccountStreams) {
		h.refuse(w, r, requestID, h.problem(http.StatusTooManyRequests, "too-many-streams", "the account has too many requests in flight").After(1))
		return
	}
	defer h.dispatcher.Leave(job.Account.Name)
	if job.Body, problem = h.readBody(w, r, job.Service); problem != nil {
		h.refuse(w, r, requestID, problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), job.Deadline)
	defer cancel()
	served, err := h.serve(ctx, job, newResponseSink(w))
	h.finish(w, job, served, err)
}

func (h *Handler) serve(ctx context.Context, job *cwdispatch.Job, sink cwdispatch.Sink) (*cwdispatch.Served, error) {
	if job.Ticket != "" {
		return h.dispatcher.ServeTicket(ctx, job, sink)
	}
	return h.dispatcher.Serve(ctx, job, sink)
}

// admit decides everything that path and headers allow, before the body is read.
func (h *Handler) admit(s *cwcontrol.Snapshot, r *http.Request) (*cwdispatch.Job, *cwanswer.Problem) {
	service, account, problem := h.authorize(s, r, r.PathValue("service"))
	if problem != nil {
		return nil, problem
	}
	now := time.Now()
	left, problem := h.deadline(r, service)
	if problem != nil {
		return nil, problem
	}
	job := &cwdispatch.Job{
		Service:       service,
		Account:       account,
		Places:        cwpolicy.NewPlaces(service.Places, account.Home),
		Method:        r.Method,
		Path:          "/" + r.PathValue("path"),
		Query:         r.URL.RawQuery,
		Header:        cwdispatch.RequestHeader(r.Header),
		Deadline:      now.Add(left),
		Arrived:       now,
		Hop:           cwpolicy.NewHop(h.Incarnation),
		ArrivalRegion: h.Settings.Region,
	}
	if problem := h.checkPlace(s, job, r); problem != nil {
		return nil, problem
	}
	job.Repeatable = service.Repeatable(job.Method, job.Path)
	if !job.Repeatable {
		job.Ticket = r.Header.Get(cwanswer.HeaderTicket)
	}
	if s.Self.Leaving && job.Ticket == "" {
		return nil, h.leavingProblem(s, job.Places)
	}
	if !job.Repeatable && job.Ticket == "" {
		return nil, h.ticketNeeded(service, account)
	}
	if ok, after := h.dispatcher.Allow(job); !ok {
		return nil, h.problem(http.StatusTooManyRequests, "over-limit", "the account or the service is over its limit").After(after)
	}
	return job, nil
}

func (h *Handler) deadline(r *http.Request, service *cwservice.Service) (time.Duration, *cwanswer.Problem) {
	most := service.Targets.Deadline()
	value := r.Header.Get(cwanswer.HeaderDeadline)
	if value == "" {
		return most, nil
	}
	left, err := time.ParseDuration(value)
	if err != nil || left <= 0 {
		return 0, h.problem(http.StatusBadRequest, "bad-deadline", "Request-Timeout must be a duration above 0, such as 2.5s")
	}
	return min(left, most), nil
}

// checkPlace sends the caller elsewhere if its data may not be here, not even on
// its way.
func (h *Handler) checkPlace(s *cwcontrol.Snapshot, job *cwdispatch.Job, r *http.Request) *cwanswer.Problem {
	region := h.Settings.Region
	if job.Places.Allows(region) || cwpolicy.Places(job.Service.Transit).Allows(region) {
		return nil
	}
	instances := cwpolicy.RankInstances(s.Members, region, job.Places, time.Now())
	permitted := instances[:0]
	for _, i := range instances {
		if job.Places.Allows(i.Region) {
			permitted = append(permitted, i)
		}
	}
	if len(permitted) == 0 {
		return h.problem(http.StatusMisdirectedRequest, "other-place", "the request may not be served here, and no instance of a permitted region is known")
	}
	p := h.problem(http.StatusTemporaryRedirect, "other-place", "the request may not be served in this region; use one of the instances")
	p.Instances = permitted
	p.Location = "http://" + permitted[0].Address + r.URL.RequestURI()
	return p
}

func (h *Handler) ticketNeeded(service *cwservice.Service, account *cwservice.Account) *cwanswer.Problem {
	p := h.problem(http.StatusPreconditionRequired, "ticket-needed", "the request must not be repeated: send it again with the ticket as Idempotency-Key")
	p.Ticket, _ = h.dispatcher.IssueTicket(service.Name, account.Name)
	return p
}

func (h *Handler) leavingProblem(s *cwcontrol.Snapshot, places cwpolicy.Places) *cwanswer.Problem {
	p := h.problem(http.StatusServiceUnavailable, "leaving", "the instance shuts down; use one of the others")
	p.Instances = cwpolicy.RankInstances(s.Members, h.Settings.Region, places, time.Now())
	return p.After(1)
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, requestID string, p *cwanswer.Problem) {
	p.RequestID = requestID
	h.metrics.refused(p)
	h.logRefusal(r, p)
	p.Write(w)
}

// finish records how the request went and sends the problem, if there is one.
func (h *Handler) finish(w http.ResponseWriter, job *cwdispatch.Job, served *cwdispatch.Served, err error) {
	h.observe(job, served, err)
	h.logServed(job, served, err)
	if err == nil {
		return
	}
	if errors.Is(err, cwdispatch.ErrTruncated) {
		// Aborting the connection is the only way to show that the answer that
		// has begun is not whole.
		panic(http.ErrAbortHandler)
	}
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", cwanswer.Unknown, err.Error())
	}
	p.RequestID = job.RequestID
	if p.Outcome == cwanswer.NotRun && p.Instances == nil {
		p.Instances = cwpolicy.RankInstances(h.control.Snapshot().Members, h.Settings.Region, job.Places, time.Now())
	}
	p.Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
