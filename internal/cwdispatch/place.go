package cwdispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// queueInterval is how often a queue is looked at while requests wait in it.
const queueInterval = 10 * time.Millisecond

// place finds where the job goes, waiting in the queue if it must.
func (d *Dispatcher) place(ctx context.Context, job *Job) placement {
	now := time.Now()
	d.mu.Lock()
	s := d.syncControlState(now)
	p := d.poolFor(job.Service.Pool())
	d.fillDemand(job)
	got, wait := d.tryPlace(p, s, job, now)
	if !wait {
		d.mu.Unlock()
		return got
	}
	w := &queuedJob{job: job, placed: make(chan placement, 1)}
	p.Queue.Push(cwpolicy.QueuedRequest[*queuedJob]{
		Value: w, Class: job.Service.Class, Account: job.Account.Name, Deadline: job.Deadline, ArrivedAt: now,
		Requirements: &job.demand, ExcludedAddress: job.excludedEndpoint,
	})
	d.scheduleQueue(p)
	d.mu.Unlock()
	select {
	case got := <-w.placed:
		return got
	case <-ctx.Done():
		return d.removeFromQueue(p, w)
	}
}

// removeFromQueue takes a waiter out of the queue whose time is over or whose caller is
// gone. It may have been placed in that moment; then the placement is undone.
func (d *Dispatcher) removeFromQueue(p *poolState, w *queuedJob) placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.Queue.Remove(func(other *queuedJob) bool { return other == w }) {
		if got := <-w.placed; got.choice.Endpoint != nil {
			got.choice.Endpoint.OnEnd(got.choice.UncachedTokens, 0, time.Now())
		}
	}
	return placement{problem: d.overloadedProblem(p, w.job, "the deadline passed in the queue")}
}

func (d *Dispatcher) fillDemand(job *Job) {
	tokens := 1
	if job.Service.Kind == cwservice.Engine {
		tokens = max(1, int(job.Body.Length())/cwpolicy.BytesPerToken)
	}
	job.demand.PromptTokens = tokens
	job.demand.FirstTokenTarget = job.Service.Targets.FirstToken()
	job.demand.Weights = job.Service.Weights
	if job.Service.PrefixCache && job.demand.PrefixHashes == nil {
		job.demand.PrefixHashes = cwpolicy.AppendPrefixHashes(nil, prefixSeed(job), job.Body.Prefix())
	}
}

// tryPlace decides at once, or returns true if the job must wait. The caller
// holds mu.
func (d *Dispatcher) tryPlace(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) (placement, bool) {
	rooms := d.reachableDomains(p, s, job, now)
	decision := p.Place(d.newArrival(job, rooms), now, d.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		return placement{choice: decision.Choice}, false
	case cwpolicy.ActionForward:
		p.recordSent(&rooms[decision.Domain])
		return placement{domain: rooms[decision.Domain].Domain}, false
	case cwpolicy.ActionRefuse:
		return placement{problem: d.overloadedProblem(p, job, "the predicted wait does not meet the deadline")}, false
	case cwpolicy.ActionNoRoute:
		return placement{problem: d.noRouteProblem(job, "no permitted endpoint or domain is reachable")}, false
	}
	return placement{}, true
}

func (d *Dispatcher) newArrival(job *Job, rooms []cwpolicy.DomainCapacity) *cwpolicy.IncomingRequest {
	return &cwpolicy.IncomingRequest{
		Requirements: &job.demand, ExcludedAddress: job.excludedEndpoint, Deadline: job.Deadline,
		Region: d.Settings.Region, AllowedRegions: job.AllowedRegions, Domains: rooms,
	}
}

// reachableDomains returns the domains that the job may be passed to. The caller holds
// mu.
func (d *Dispatcher) reachableDomains(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) []cwpolicy.DomainCapacity {
	if job.HopBudget.ServeHopsLeft == 0 {
		return nil
	}
	return slices.DeleteFunc(p.withSentCounts(s.Capacities[job.Service.Pool()]), func(r cwpolicy.DomainCapacity) bool {
		return slices.Contains(job.excludedDomains, r.Domain) || len(s.UsableMembers(r.Domain, now)) == 0
	})
}

func (d *Dispatcher) noRouteProblem(job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "no-route", job.currentOutcome(), detail).
		WithOrigin("place", job.Service.Pool()).WithRetryAfterSeconds(cwpolicy.ComputeRetryAfterSeconds(0, d.rng.Float64()))
}

func (d *Dispatcher) overloadedProblem(p *poolState, job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "overloaded", job.currentOutcome(), detail).
		WithOrigin("admit", job.Service.Pool()).WithRetryAfterSeconds(cwpolicy.ComputeRetryAfterSeconds(p.Queue.PredictWait(), d.rng.Float64()))
}

// scheduleQueue looks at the queue again and again while requests wait. The caller
// holds mu.
func (d *Dispatcher) scheduleQueue(p *poolState) {
	if p.isQueueScheduled {
		return
	}
	p.isQueueScheduled = true
	time.AfterFunc(queueInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		p.isQueueScheduled = false
		now := time.Now()
		d.syncControlState(now)
		d.processQueue(p, now)
		if p.Queue.Len() > 0 {
			d.scheduleQueue(p)
		}
	})
}

// processQueue places waiting requests while endpoints have free slots, and refuses at
// once those that can't be served in time any more. The caller holds mu.
func (d *Dispatcher) processQueue(p *poolState, now time.Time) {
	for {
		w, decision, ok := p.PlaceNext(now, d.rng)
		if !ok {
			return
		}
		if decision.Action == cwpolicy.ActionDispatch {
			w.placed <- placement{choice: decision.Choice}
			continue
		}
		w.placed <- placement{problem: d.overloadedProblem(p, w.job, "the deadline can't be met any more")}
	}
}

// prefixSeed keeps prompt hashes of different services and homes apart.
func prefixSeed(job *Job) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %v", job.Service.Pool(), job.AllowedRegions))
}

func (j *Job) currentOutcome() cwanswer.Outcome {
	if j.outcome == "" {
		return cwanswer.NotRun
	}
	return j.outcome
}
