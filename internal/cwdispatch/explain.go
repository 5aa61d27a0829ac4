package cwdispatch

import (
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Service is the service asked about; Places are the permitted regions.
	Service        string   `json:"service"`
	AllowedRegions []string `json:"places"`
	// Endpoint is the one that would be chosen; empty if none.
	Endpoint string `json:"endpoint,omitempty"`
	// FirstTokenMillis is the prediction for it.
	FirstTokenMillis float64 `json:"firstTokenMillis,omitempty"`
	// Domain is set if the request would leave this domain.
	Domain string `json:"domain,omitempty"`
	// Queued is the number of requests that wait; QueueMillis the predicted wait.
	Queued      int     `json:"queued"`
	QueueMillis float64 `json:"queueMillis"`
	// Candidates are all endpoints of the pool.
	Candidates []CandidateView `json:"candidates"`
	// Domains are the summaries of other domains.
	Domains []DomainView `json:"domains"`
}

// CandidateView is one endpoint as the choice sees it.
type CandidateView struct {
	// Address is the endpoint.
	Address string `json:"address"`
	// IsUsable is false while it leaves, loads, is ejected or does not answer.
	IsUsable bool `json:"usable"`
	// FreeSlots and InFlight count requests; Ahead counts prompt tokens.
	FreeSlots     int `json:"free"`
	InFlight      int `json:"inFlight"`
	PendingTokens int `json:"aheadTokens"`
	// MicrosPerToken is the learnt speed.
	MicrosPerToken float64 `json:"microsPerToken"`
}

// DomainView is the summary of another domain.
type DomainView struct {
	// Domain and Region say which.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// FreeSlots and Slots count requests.
	FreeSlots int `json:"free"`
	Slots     int `json:"slots"`
	// WaitMillis is its predicted wait, AgeSeconds the age of the summary.
	WaitMillis float64 `json:"waitMillis"`
	AgeSeconds float64 `json:"ageSeconds"`
	// RoundTripMillis is the measured network round trip.
	RoundTripMillis float64 `json:"roundTripMillis"`
}

// explainPromptTokens is the prompt length that an explanation assumes.
const explainPromptTokens = 256

// Explain decides on a request of the account without sending one. An empty
// account name stands for one without a home.
func (d *Dispatcher) Explain(service, account string) (*Explanation, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.syncControlState(now)
	svc := s.Config.Service(service)
	if svc == nil {
		return nil, fmt.Errorf("explain: service %q is not known", service)
	}
	home := ""
	if account != "" {
		a := s.Config.AccountByName(account)
		if a == nil {
			return nil, fmt.Errorf("explain: account %q is not known", account)
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
	d.fillDemand(job)
	out := &Explanation{Service: job.Service.Name, AllowedRegions: job.AllowedRegions, Queued: p.Queue.Len(), QueueMillis: toMillis(p.Queue.PredictWait())}
	rooms := d.reachableDomains(p, s, job, now)
	switch decision := p.Decide(d.newArrival(job, rooms), now, d.rng); decision.Action {
	case cwpolicy.ActionDispatch:
		out.Endpoint, out.FirstTokenMillis = decision.Choice.Endpoint.Address, toMillis(decision.Choice.PredictedFirstToken)
	case cwpolicy.ActionForward:
		out.Domain = rooms[decision.Domain].Domain
	}
	for _, e := range p.Endpoints() {
		work := e.EstimateLoad(now)
		out.Candidates = append(out.Candidates, CandidateView{
			Address: e.Address, IsUsable: e.IsUsable(now, cwpolicy.EndpointContactTimeout) && !e.IsLoading && !e.IsEjected(now),
			FreeSlots: e.FreeSlots(work), InFlight: e.InFlight(), PendingTokens: work.WaitingTokens, MicrosPerToken: e.SecondsPerToken() * 1e6,
		})
	}
	for _, r := range s.Capacities[job.Service.Pool()] {
		out.Domains = append(out.Domains, DomainView{
			Domain: r.Domain, Region: r.Region, FreeSlots: r.FreeSlots, Slots: r.Slots,
			WaitMillis: r.WaitSeconds * 1000, AgeSeconds: now.Sub(r.ReportedAt).Seconds(), RoundTripMillis: toMillis(r.RoundTrip),
		})
	}
	return out
}

func toMillis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
