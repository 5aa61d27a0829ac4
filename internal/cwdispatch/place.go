package cwdispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// pumpInterval is how often a queue is looked at while requests wait in it.
	pumpInterval = 10 * time.Millisecond
	// defaultOutput is the expected number of generated tokens.
	defaultOutput = 128
)

// place finds where the job goes, waiting in the queue if it must.
func (d *Dispatcher) place(ctx context.Context, job *Job) placement {
	now := time.Now()
	d.mu.Lock()
	s := d.sync(now)
	p := d.pool(poolName(job))
	d.fillDemand(job, now)
	got, wait := d.placeNow(p, s, job, now)
	if !wait {
		d.mu.Unlock()
		return got
	}
	w := &waiter{job: job, ready: make(chan placement, 1)}
	p.queue.Push(cwpolicy.Waiting[*waiter]{
		Value: w, Class: job.Service.Class, Account: job.Account.Name, Deadline: job.Deadline, At: now,
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
	if !p.queue.Remove(func(other *waiter) bool { return other == w }) {
		if got := <-w.ready; got.choice.Endpoint != nil {
			got.choice.Endpoint.OnEnd(got.choice.Uncached, 0)
		}
	}
	return placement{problem: d.overloaded(p, w.job, "the deadline passed in the queue")}
}

func (d *Dispatcher) fillDemand(job *Job, now time.Time) {
	tokens := 1
	if job.Service.Kind == cwservice.Engine {
		tokens = max(1, int(job.Body.Length())/cwpolicy.BytesPerToken)
	}
	job.demand.Tokens = tokens
	job.demand.Output = defaultOutput
	job.demand.Target = job.Service.Targets.FirstToken()
	job.demand.Left = job.Deadline.Sub(now)
	job.demand.Weights = job.Service.Weights
	if job.Service.PrefixCache && job.demand.Prefix == nil {
		job.demand.Prefix = cwpolicy.PrefixHashes(nil, prefixSeed(job), job.Body.Prefix())
	}
}

// placeNow decides at once, or returns true if the job must wait. The caller
// holds mu.
func (d *Dispatcher) placeNow(p *poolState, s *cwcontrol.Snapshot, job *Job, now time.Time) (placement, bool) {
	home := job.Places.Allows(d.Settings.Region)
	choice, found := cwpolicy.Choice{}, false
	if home {
		choice, found = p.Choose(&job.demand, job.avoid, now, d.rng)
	}
	if domain, ok := d.spillTo(p, s, job, choice, found, home, now); ok {
		return placement{domain: domain}, false
	}
	if !home {
		return placement{problem: d.noRoute(job, "no domain where the request may be served is reachable")}, false
	}
	if !found {
		return placement{problem: d.noRoute(job, "no endpoint is usable")}, false
	}
	if choice.Free && p.queue.Len() == 0 {
		p.OnDispatch(choice, &job.demand, now)
		return placement{choice: choice}, false
	}
	if !p.queue.Admit(job.Deadline.Add(-choice.FirstToken), now) {
		return placement{problem: d.overloaded(p, job, "the predicted wait does not meet the deadline")}, false
	}
	return placement{}, true
}

// spillTo decides whether the job leaves the domain. The caller holds mu.
func (d *Dispatcher) spillTo(p *poolState, s *cwcontrol.Snapshot, job *Job, choice cwpolicy.Choice, found, home bool, now time.Time) (string, bool) {
	if job.Hop.ServeLeft == 0 {
		return "", false
	}
	rooms := slices.DeleteFunc(p.withSent(s.Rooms[poolName(job)]), func(r cwpolicy.DomainRoom) bool {
		return slices.Contains(job.avoided, r.Domain) || len(s.Exits(r.Domain, now)) == 0
	})
	in := &cwpolicy.SpillInput{
		Demand:   &job.demand,
		Home:     home,
		HasLocal: found,
		Local:    choice.FirstToken + p.queue.Wait(),
		Region:   d.Settings.Region,
		Places:   job.Places,
		Domains:  rooms,
	}
	i := p.spill.Decide(in, now, d.rng)
	if i < 0 {
		return "", false
	}
	p.noteSent(&rooms[i])
	return rooms[i].Domain, true
}

func (d *Dispatcher) noRoute(job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "no-route", job.outcomeNow(), detail).
		At("place", poolName(job)).After(cwpolicy.RetryAfter(0, d.rng.Float64()))
}

func (d *Dispatcher) overloaded(p *poolState, job *Job, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(http.StatusServiceUnavailable, "overloaded", job.outcomeNow(), detail).
		At("admit", poolName(job)).After(cwpolicy.RetryAfter(p.queue.Wait(), d.rng.Float64()))
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
		if p.queue.Len() > 0 {
			d.startPump(p)
		}
	})
}

// pump places waiting requests while endpoints have free slots, and refuses at
// once those that can't be served in time any more. The caller holds mu.
func (d *Dispatcher) pump(p *poolState, now time.Time) {
	for {
		next, ok := p.queue.Peek(now)
		if !ok {
			return
		}
		job := next.Value.job
		choice, found := p.Choose(&job.demand, job.avoid, now, d.rng)
		late := !now.Add(choice.FirstToken).Before(job.Deadline)
		if found && !choice.Free && !late {
			return
		}
		if !found && !late {
			late = len(p.Endpoints()) == 0 || p.Room(now).Endpoints == 0
			if !late {
				return
			}
		}
		p.queue.Pop(now)
		if late || !found {
			next.Value.ready <- placement{problem: d.overloaded(p, job, "the deadline can't be met any more")}
			continue
		}
		p.OnDispatch(choice, &job.demand, now)
		next.Value.ready <- placement{choice: choice}
	}
}

// prefixSeed keeps prompt hashes of different services and homes apart.
func prefixSeed(job *Job) uint64 {
	return hashOf(fmt.Sprintf("%s %v", poolName(job), job.Places))
}

func (j *Job) outcomeNow() cwanswer.Outcome {
	if j.outcome == "" {
		return cwanswer.NotRun
	}
	return j.outcome
}
