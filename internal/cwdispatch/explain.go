package cwdispatch

import (
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Explanation is the current routing decision for a request, with its reasons.
type Explanation struct {
	// Service is the requested service; AllowedRegions are the regions that may
	// serve the request.
	Service        string   `json:"service"`
	AllowedRegions []string `json:"places"`
	// Endpoint is the address of the endpoint that would be chosen; empty if none.
	Endpoint string `json:"endpoint,omitempty"`
	// FirstTokenMillis is the predicted time to the first token at Endpoint.
	FirstTokenMillis float64 `json:"firstTokenMillis,omitempty"`
	// Domain is the other domain that the request would be forwarded to, if any.
	Domain string `json:"domain,omitempty"`
	// Queued is the number of queued requests, and QueueMillis the predicted wait of a
	// request that is added to the queue now.
	Queued      int     `json:"queued"`
	QueueMillis float64 `json:"queueMillis"`
	// Candidates are all endpoints of the pool.
	Candidates []CandidateView `json:"candidates"`
	// Domains are the capacities that other domains report.
	Domains []DomainView `json:"domains"`
}

// CandidateView is the state of one endpoint that the routing decision uses.
type CandidateView struct {
	// Address is the endpoint's host and port.
	Address string `json:"address"`
	// IsUsable is false while the endpoint shuts down, loads a model, is ejected or
	// does not respond.
	IsUsable bool `json:"usable"`
	// FreeSlots is the estimated number of free slots, and InFlight the number of this
	// instance's requests at the endpoint. WaitingTokens is the estimated number of
	// prompt tokens not yet processed there.
	FreeSlots     int `json:"free"`
	InFlight      int `json:"inFlight"`
	WaitingTokens int `json:"aheadTokens"`
	// MicrosPerToken is the estimated prompt processing time per token.
	MicrosPerToken float64 `json:"microsPerToken"`
}

// DomainView is the capacity that another domain reports for the pool.
type DomainView struct {
	// Domain and Region identify the domain.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// FreeSlots and Slots are the numbers of requests that the domain's endpoints can
	// run at once, in addition to the current ones and in total.
	FreeSlots int `json:"free"`
	Slots     int `json:"slots"`
	// WaitMillis is the predicted wait there, and AgeSeconds the age of the report.
	WaitMillis float64 `json:"waitMillis"`
	AgeSeconds float64 `json:"ageSeconds"`
	// RoundTripMillis is the measured network round-trip time.
	RoundTripMillis float64 `json:"roundTripMillis"`
}

// explainPromptTokens is the prompt length that Explain assumes.
const explainPromptTokens = 256

// Explain returns the routing decision for a request of the account without
// sending one. An empty account name means an account without a home. It fails if
// the service or the account is unknown.
func (d *Dispatcher) Explain(service, account string) (*Explanation, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.syncControlState(now)
	svc := s.Config.Service(service)
	if svc == nil {
		return nil, fmt.Errorf("explain: unknown service %q", service)
	}
	home := ""
	if account != "" {
		a := s.Config.AccountByName(account)
		if a == nil {
			return nil, fmt.Errorf("explain: unknown account %q", account)
		}
		home = a.Home
	}
	job := &Job{
		Service: svc, Body: &Body{length: explainPromptTokens * cwpolicy.BytesPerToken}, Deadline: now.Add(svc.Targets.Deadline()),
		AllowedRegions: cwpolicy.NewAllowedRegions(svc.Places, home), HopBudget: cwpolicy.NewHopBudget(d.Incarnation),
	}
	return d.explain(job, now), nil
}

func (d *Dispatcher) explain(job *Job, now time.Time) *Explanation {
	s := d.control.Snapshot()
	p := d.poolFor(job.Service.Pool())
	d.fillRequirements(job)
	explanation := &Explanation{Service: job.Service.Name, AllowedRegions: job.AllowedRegions, Queued: p.Queue.Len(), QueueMillis: toMillis(p.Queue.PredictWait())}
	capacities := d.reachableDomains(p, s, job, now)
	switch decision := p.Decide(d.newIncomingRequest(job, capacities), now, d.rng); decision.Action {
	case cwpolicy.ActionDispatch:
		explanation.Endpoint, explanation.FirstTokenMillis = decision.Choice.Endpoint.Address, toMillis(decision.Choice.PredictedFirstToken)
	case cwpolicy.ActionForward:
		explanation.Domain = capacities[decision.Domain].Domain
	}
	for _, e := range p.Endpoints() {
		load := e.EstimateLoad(now)
		explanation.Candidates = append(explanation.Candidates, CandidateView{
			Address: e.Address, IsUsable: e.IsUsable(now, cwpolicy.EndpointContactTimeout) && !e.IsLoading && !e.IsEjected(now),
			FreeSlots: e.FreeSlots(load), InFlight: e.InFlight(), WaitingTokens: load.WaitingTokens, MicrosPerToken: e.SecondsPerToken() * 1e6,
		})
	}
	for _, capacity := range s.Capacities[job.Service.Pool()] {
		explanation.Domains = append(explanation.Domains, DomainView{
			Domain: capacity.Domain, Region: capacity.Region, FreeSlots: capacity.FreeSlots, Slots: capacity.Slots,
			WaitMillis: capacity.WaitSeconds * 1000, AgeSeconds: now.Sub(capacity.ReportedAt).Seconds(), RoundTripMillis: toMillis(capacity.RoundTrip),
		})
	}
	return explanation
}

func toMillis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
