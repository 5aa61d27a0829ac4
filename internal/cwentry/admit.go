package cwentry

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// admit checks path, header and rate limits, before the body is read. It returns the
// job without RequestID and Body, or the problem to refuse the request with.
func (h *Handler) admit(s *cwcontrol.Snapshot, r *http.Request) (*cwdispatch.Job, *cwanswer.Problem) {
	service, account, problem := h.authorize(s, r, r.PathValue("service"))
	if problem != nil {
		return nil, problem
	}
	now := time.Now()
	timeout, problem := h.requestTimeout(r, service)
	if problem != nil {
		return nil, problem
	}
	job := &cwdispatch.Job{
		Service:        service,
		Account:        account,
		AllowedRegions: cwpolicy.NewAllowedRegions(service.Places, account.Home),
		Method:         r.Method,
		Path:           "/" + r.PathValue("path"),
		Query:          r.URL.RawQuery,
		Header:         cwdispatch.FilterRequestHeader(r.Header),
		Deadline:       now.Add(timeout),
		ArrivedAt:      now,
		HopBudget:      cwpolicy.NewHopBudget(h.Incarnation),
		ArrivalRegion:  h.Settings.Region,
	}
	if problem := h.checkRegion(s, job, r); problem != nil {
		return nil, problem
	}
	job.IsRepeatable = service.Repeatable(job.Method, job.Path)
	if !job.IsRepeatable {
		job.Ticket = r.Header.Get(cwanswer.HeaderTicket)
	}
	if s.Self.IsLeaving && job.Ticket == "" {
		return nil, h.leavingProblem(s, job.AllowedRegions)
	}
	if !job.IsRepeatable && job.Ticket == "" {
		return nil, h.ticketNeededProblem(service, account)
	}
	if ok, retryAfterSeconds := h.dispatcher.Allow(job); !ok {
		return nil, h.newProblem(http.StatusTooManyRequests, "over-limit", "the account or the service is over its limit").WithRetryAfterSeconds(retryAfterSeconds)
	}
	return job, nil
}

// requestTimeout returns the timeout that the caller asks for, at most that of the
// service.
func (h *Handler) requestTimeout(r *http.Request, service *cwservice.Service) (time.Duration, *cwanswer.Problem) {
	maxTimeout := service.Targets.Deadline()
	value := r.Header.Get(cwanswer.HeaderDeadline)
	if value == "" {
		return maxTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, h.newProblem(http.StatusBadRequest, "bad-deadline", "Request-Timeout must be a duration above 0, such as 2.5s")
	}
	return min(timeout, maxTimeout), nil
}

// checkRegion redirects the caller if this region may neither serve the request nor
// relay its data.
func (h *Handler) checkRegion(s *cwcontrol.Snapshot, job *cwdispatch.Job, r *http.Request) *cwanswer.Problem {
	region := h.Settings.Region
	if job.AllowedRegions.Contains(region) || cwpolicy.AllowedRegions(job.Service.Transit).Contains(region) {
		return nil
	}
	instances := cwpolicy.RankInstances(s.Members, region, job.AllowedRegions, time.Now())
	allowed := instances[:0]
	for _, instance := range instances {
		if job.AllowedRegions.Contains(instance.Region) {
			allowed = append(allowed, instance)
		}
	}
	if len(allowed) == 0 {
		return h.newProblem(http.StatusMisdirectedRequest, "other-place", "the request may not be served here, and no instance of a permitted region is known")
	}
	p := h.newProblem(http.StatusTemporaryRedirect, "other-place", "the request may not be served in this region; use one of the instances")
	p.Instances = allowed
	p.Location = "http://" + allowed[0].Address + r.URL.RequestURI()
	return p
}

func (h *Handler) ticketNeededProblem(service *cwservice.Service, account *cwservice.Account) *cwanswer.Problem {
	p := h.newProblem(http.StatusPreconditionRequired, "ticket-needed", "the request must not be repeated: send it again with the ticket as Idempotency-Key")
	p.Ticket, _ = h.dispatcher.IssueTicket(service.Name, account.Name)
	return p
}

func (h *Handler) leavingProblem(s *cwcontrol.Snapshot, allowedRegions cwpolicy.AllowedRegions) *cwanswer.Problem {
	p := h.newProblem(http.StatusServiceUnavailable, "leaving", "the instance shuts down; use one of the others")
	p.Instances = cwpolicy.RankInstances(s.Members, h.Settings.Region, allowedRegions, time.Now())
	return p.WithRetryAfterSeconds(1)
}
