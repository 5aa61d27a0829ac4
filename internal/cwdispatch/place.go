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

// queueInterval is how often a queue is processed while requests wait in it.
const queueInterval = 10 * time.Millisecond

// place decides where the job is sent. If no endpoint has a free slot, it waits in
// the queue until ctx is done.
func (d *Dispatcher) place(ctx context.Context, job *Job) placement {
	target, p, queued := d.placeOrQueue(job)
	if queued == nil {
		return target
	}
	select {
	case target := <-queued.placed:
		return target
	case <-ctx.Done():
		return d.removeFromQueue(p, queued)
	}
}

// placeOrQueue places the job or, if no endpoint has a free slot, adds it to the queue. The
// queued job is nil if the job was placed or refused.
func (d *Dispatcher) placeOrQueue(job *Job) (placement, *poolState, *queuedJob) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.syncControlState(now)
	p := d.poolFor(job.Service.Pool())
	d.fillRequirements(job)
	target, mustWait := d.tryPlace(p, s, job, now)
	if !mustWait {
		return target, p, nil
	}
	queued := &queuedJob{job: job, placed: make(chan placement, 1)}
	p.Queue.Push(cwpolicy.QueuedRequest[*queuedJob]{
		Value: queued, Class: job.Service.Class, Account: job.Account.Name, Deadline: job.Deadline, ArrivedAt: now,
		Requirements: &job.requirements, ExcludedAddress: job.excludedEndpoint,
	})
	d.scheduleQueue(p)
	return placement{}, p, queued
}

// removeFromQueue removes a job whose deadline passed or whose caller disconnected.
// If the job was placed at the same moment, the placement is undone.
func (d *Dispatcher) removeFromQueue(p *poolState, queued *queuedJob) placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.Queue.Remove(func(other *queuedJob) bool { return other == queued }) {
		if target := <-queued.placed; target.choice.Endpoint != nil {
			target.choice.Endpoint.OnEnd(target.choice.UncachedTokens, 0, time.Now())
		}
	}
	return placement{problem: d.overloadedProblem(p, queued.job, "the deadline passed in the queue")}
}

func (d *Dispatcher) fillRequirements(job *Job) {
	tokens := 1
	if job.Service.Kind == cwservice.Engine {
		tokens = max(1, int(job.Body.Length())/cwpolicy.BytesPerToken)
	}
	job.requirements.PromptTokens = tokens
	job.requirements.FirstTokenTarget = job.Service.Targets.FirstToken()
	job.requirements.Weights = job.Service.Weights
	if job.Service.PrefixCache && job.requirements.PrefixHashes == nil {
		job.requirements.PrefixHashes = cwpolicy.AppendPrefixHashes(nil, prefixSeed(job), job.Body.Prefix())
	}
}

// tryPlace places the job without waiting, or returns true if it must wait. The
// caller holds mu.
func (d *Dispatcher) tryPlace(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) (placement, bool) {
	capacities := d.reachableDomains(p, s, job, now)
	decision := p.Place(d.newIncomingRequest(job, capacities), now, d.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		return placement{choice: decision.Choice}, false
	case cwpolicy.ActionForward:
		p.recordSent(&capacities[decision.Domain])
		return placement{domain: capacities[decision.Domain].Domain}, false
	case cwpolicy.ActionRefuse:
		return placement{problem: d.overloadedProblem(p, job, "the predicted wait does not meet the deadline")}, false
	case cwpolicy.ActionNoRoute:
		return placement{problem: d.noRouteProblem(job, "no permitted endpoint or domain is reachable")}, false
	}
	return placement{}, true
}

func (d *Dispatcher) newIncomingRequest(job *Job, capacities []cwpolicy.DomainCapacity) *cwpolicy.IncomingRequest {
	return &cwpolicy.IncomingRequest{
		Requirements: &job.requirements, ExcludedAddress: job.excludedEndpoint, Deadline: job.Deadline,
		Region: d.Settings.Region, AllowedRegions: job.AllowedRegions, Domains: capacities,
	}
}

// reachableDomains returns the capacities of the domains that have a usable instance
// and have not failed the job, or none if the job has no hop left. The spillover
// policy checks their regions. The caller holds mu.
func (d *Dispatcher) reachableDomains(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) []cwpolicy.DomainCapacity {
	if job.HopBudget.ServeHopsLeft == 0 {
		return nil
	}
	return slices.DeleteFunc(p.withSentCounts(s.Capacities[job.Service.Pool()]), func(capacity cwpolicy.DomainCapacity) bool {
		return slices.Contains(job.excludedDomains, capacity.Domain) || len(s.UsableMembers(capacity.Domain, now)) == 0
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

// scheduleQueue processes the queue every queueInterval while requests wait in it.
// The caller holds mu.
func (d *Dispatcher) scheduleQueue(p *poolState) {
	if p.isQueueScheduled {
		return
	}
	p.isQueueScheduled = true
	d.AfterFunc(queueInterval, "processQueue", func() {
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

// processQueue places queued requests while endpoints have free slots. It refuses
// those that can no longer meet their deadline, and all of them if the pool has no
// usable endpoint. The caller holds mu.
func (d *Dispatcher) processQueue(p *poolState, now time.Time) {
	// At the end of the instance the requests that end first leave free slots. Queued ones are
	// refused then, which have not run.
	for d.ended.Err() == nil {
		queued, decision, ok := p.PlaceNext(now, d.rng)
		if !ok {
			return
		}
		if decision.Action == cwpolicy.ActionDispatch {
			queued.placed <- placement{choice: decision.Choice}
			continue
		}
		queued.placed <- placement{problem: d.overloadedProblem(p, queued.job, "the deadline can't be met any more")}
	}
}

// prefixSeed returns the hash seed for the prompts of a job. It separates the
// hashes of different pools and sets of allowed regions.
func prefixSeed(job *Job) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %v", job.Service.Pool(), job.AllowedRegions))
}

// currentOutcome returns the combined outcome of the attempts so far.
func (j *Job) currentOutcome() cwanswer.Outcome {
	if j.outcome == "" {
		return cwanswer.NotRun
	}
	return j.outcome
}
