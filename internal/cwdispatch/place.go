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

// pumpInterval is how often a queue is looked at while requests wait in it.
const pumpInterval = 10 * time.Millisecond

// place finds where the job goes, waiting in the queue if it must.
func (d *Dispatcher) place(ctx context.Context, job *Job) placement {
	now := time.Now()
	d.mu.Lock()
	s := d.sync(now)
	p := d.pool(job.Service.Pool())
	d.fillDemand(job)
	got, wait := d.placeNow(p, s, job, now)
	if !wait {
		d.mu.Unlock()
		return got
	}
	w := &waiter{job: job, ready: make(chan placement, 1)}
	p.Queue.Push(cwpolicy.QueuedRequest[*waiter]{
		Value: w, Class: job.Service.Class, Account: job.Account.Name, Deadline: job.Deadline, ArrivedAt: now,
		Requirements: &job.demand, ExcludedAddress: job.avoid,
	})
	d.startPump(p)
	d.mu.Unlock()
	select {
	case got := <-w.ready:
		return got
	case <-ctx.Done():
		return d.abandon(p, w)
	}
}

// abandon takes a waiter out of the queue whose time is over or whose caller is
// gone. It may have been placed in that moment; then the placement is undone.
func (d *Dispatcher) abandon(p *poolState, w *waiter) placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.Queue.Remove(func(other *waiter) bool { return other == w }) {
		if got := <-w.ready; got.choice.Endpoint != nil {
			got.choice.Endpoint.OnEnd(got.choice.UncachedTokens, 0, time.Now())
		}
	}
	return placement{problem: d.overloaded(p, w.job, "the deadline passed in the queue")}
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

// placeNow decides at once, or returns true if the job must wait. The caller
// holds mu.
func (d *Dispatcher) placeNow(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) (placement, bool) {
	rooms := d.reachable(p, s, job, now)
	decision := p.Place(d.arrival(job, rooms), now, d.rng)
	switch decision.Action {
	case cwpolicy.ActionDispatch:
		return placement{choice: decision.Choice}, false
	case cwpolicy.ActionForward:
		p.noteSent(&rooms[decision.Domain])
		return placement{domain: rooms[decision.Domain].Domain}, false
	case cwpolicy.ActionRefuse:
		return placement{problem: d.overloaded(p, job, "the predicted wait does not meet the deadline")}, false
	case cwpolicy.ActionNoRoute:
		return placement{problem: d.noRoute(job, "no permitted endpoint or domain is reachable")}, false
	}
	return placement{}, true
}

func (d *Dispatcher) arrival(job *Job, rooms []cwpolicy.DomainCapacity) *cwpolicy.IncomingRequest {
	return &cwpolicy.IncomingRequest{
		Requirements: &job.demand, ExcludedAddress: job.avoid, Deadline: job.Deadline,
		Region: d.Settings.Region, AllowedRegions: job.Places, Domains: rooms,
	}
}

// reachable returns the domains that the job may be passed to. The caller holds
// mu.
func (d *Dispatcher) reachable(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) []cwpolicy.DomainCapacity {
	if job.Hop.ServeHopsLeft == 0 {
		return nil
	}
	return slices.DeleteFunc(p.withSent(s.Rooms[job.Service.Pool()]), func(r cwpolicy.DomainCapacity) bool {
		return slices.Contains(job.avoided, r.Domain) || len(s.Exits(r.Domain, now)) == 0
	})
}

func (d *Dispatcher) noRoute(job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "no-route", job.outcomeNow(), detail).
		At("place", job.Service.Pool()).After(cwpolicy.ComputeRetryAfterSeconds(0, d.rng.Float64()))
}

func (d *Dispatcher) overloaded(p *poolState, job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "overloaded", job.outcomeNow(), detail).
		At("admit", job.Service.Pool()).After(cwpolicy.ComputeRetryAfterSeconds(p.Queue.PredictWait(), d.rng.Float64()))
}

// startPump looks at the queue again and again while requests wait. The caller
// holds mu.
func (d *Dispatcher) startPump(p *poolState) {
	if p.pumping {
		return
	}
	p.pumping = true
	time.AfterFunc(pumpInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		p.pumping = false
		now := time.Now()
		d.sync(now)
		d.pump(p, now)
		if p.Queue.Len() > 0 {
			d.startPump(p)
		}
	})
}

// pump places waiting requests while endpoints have free slots, and refuses at
// once those that can't be served in time any more. The caller holds mu.
func (d *Dispatcher) pump(p *poolState, now time.Time) {
	for {
		w, decision, ok := p.PlaceNext(now, d.rng)
		if !ok {
			return
		}
		if decision.Action == cwpolicy.ActionDispatch {
			w.ready <- placement{choice: decision.Choice}
			continue
		}
		w.ready <- placement{problem: d.overloaded(p, w.job, "the deadline can't be met any more")}
	}
}

// prefixSeed keeps prompt hashes of different services and homes apart.
func prefixSeed(job *Job) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %v", job.Service.Pool(), job.Places))
}

func (j *Job) outcomeNow() cwanswer.Outcome {
	if j.outcome == "" {
		return cwanswer.NotRun
	}
	return j.outcome
}
