package cwdispatch

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// IssueTicket returns a new ticket, or false once this instance has handed over its
// tickets.
func (d *Dispatcher) IssueTicket(service, account string) (string, bool) {
	var id cwpolicy.TicketID
	_, _ = rand.Read(id[:])
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets.Issue(id, service, account, time.Now())
}

// ServeTicket runs a job that must not be repeated, at most once per ticket. It
// returns the same errors as Serve, or the sink's error if a kept response can't be
// written.
func (d *Dispatcher) ServeTicket(ctx context.Context, job *Job, sink Sink) (*ServeResult, error) {
	now := time.Now()
	d.mu.Lock()
	status, use := d.tickets.Begin(job.Ticket, job.Service.Name, job.Account.Name, now)
	var run *ticketRun
	switch status {
	case cwpolicy.TicketRun:
		run = newTicketRun()
		d.storeTicketRun(use.ID, run)
	case cwpolicy.TicketJoin, cwpolicy.TicketEnded:
		run = d.ticketRuns[use.ID]
	}
	d.mu.Unlock()
	switch status {
	case cwpolicy.TicketRun:
		return d.runOnce(ctx, job, use, run, sink)
	case cwpolicy.TicketJoin, cwpolicy.TicketEnded:
		return d.waitForTicketRun(ctx, job, use, run, sink)
	case cwpolicy.TicketOwnedElsewhere, cwpolicy.TicketHandedOver:
		return d.forwardToTicketOwner(ctx, job, sink)
	}
	return &ServeResult{}, d.ticketProblem(status, job)
}

// storeTicketRun stores a run for duplicate requests. If there are too many, the
// oldest run is evicted if it has ended; the ticket registry still records its use.
// The caller holds mu.
func (d *Dispatcher) storeTicketRun(id cwpolicy.TicketID, run *ticketRun) {
	d.ticketRuns[id] = run
	d.ticketRunOrder = append(d.ticketRunOrder, id)
	if len(d.ticketRunOrder) <= maxKeptTicketRuns {
		return
	}
	oldest := d.ticketRunOrder[0]
	select {
	case <-d.ticketRuns[oldest].done:
		d.ticketRunOrder = d.ticketRunOrder[1:]
		delete(d.ticketRuns, oldest)
	default:
	}
}

// runOnce runs the job until its deadline even if the caller disconnects, so that
// duplicates get the response.
func (d *Dispatcher) runOnce(ctx context.Context, job *Job, use *cwpolicy.TicketUse, run *ticketRun, sink Sink) (*ServeResult, error) {
	job.TicketID, job.TicketExpiry, job.OwnsTicket = use.ID, use.Expiry, true
	job.IsRepeatable = false
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	defer cancel()
	// If the run panics, its outcome stays unknown, and duplicates must not wait for it.
	run.outcome = cwanswer.Unknown
	hasReturned := false
	defer func() {
		run.isResponseLost = run.isResponseLost || !hasReturned
		d.endTicketRun(use, run)
	}()
	result, err := d.Serve(ctx, job, &recordingSink{caller: sink, run: run})
	hasReturned = true
	run.result = *result
	run.outcome = job.currentOutcome()
	var p *cwanswer.Problem
	if errors.As(err, &p) && !errors.Is(err, ErrTruncated) {
		d.resolveOutcome(ctx, job, p)
		run.problem, run.outcome = p, p.Outcome
	}
	if errors.Is(err, ErrTruncated) {
		run.isResponseLost = true
	}
	return result, err
}

// endTicketRun records the outcome of a run and lets duplicates have its response.
func (d *Dispatcher) endTicketRun(use *cwpolicy.TicketUse, run *ticketRun) {
	defer close(run.done)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets.End(use.ID, run.outcome)
}

// waitForTicketRun waits for a run of the same ticket and replays its response. The
// run is nil if its response is no longer kept.
func (d *Dispatcher) waitForTicketRun(ctx context.Context, job *Job, use *cwpolicy.TicketUse, run *ticketRun, sink Sink) (*ServeResult, error) {
	if run == nil {
		return &ServeResult{}, responseLostProblem(use.Outcome)
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	select {
	case <-run.done:
		return run.replay(sink)
	case <-ctx.Done():
		return &ServeResult{}, cwanswer.NewProblem(http.StatusGatewayTimeout, "still-running", cwanswer.Unknown,
			"the request runs under this ticket and has no answer yet").WithOrigin("ticket", "").WithRetryAfterSeconds(1)
	}
}

// forwardToTicketOwner forwards the job to the instance that owns its ticket. If none
// is known or no hop is left, the outcome of the request is unknown.
func (d *Dispatcher) forwardToTicketOwner(ctx context.Context, job *Job, sink Sink) (*ServeResult, error) {
	ticket, err := cwpolicy.ParseTicket(job.Ticket)
	if err != nil {
		return &ServeResult{}, d.ticketProblem(cwpolicy.TicketInvalid, job)
	}
	owner := d.control.Snapshot().TicketOwner(ticket.Issuer)
	if owner == nil || owner.Incarnation == d.Incarnation || job.HopBudget.TicketHopsLeft == 0 {
		p := cwanswer.NewProblem(http.StatusBadGateway, "issuer-gone", cwanswer.Unknown,
			"the instance that issued the ticket is gone; look the request up before trying with a new ticket").WithOrigin("ticket", "")
		d.resolveOutcome(ctx, job, p)
		return &ServeResult{}, p
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	result := &ServeResult{}
	tracked := &trackingSink{Sink: sink}
	r := d.forward(ctx, job, cwpolicy.HopTicket, owner, tracked, result)
	if r.err == nil {
		return result, nil
	}
	if tracked.hasStarted.Load() {
		return result, errors.Join(ErrTruncated, r.err)
	}
	return result, d.ownerProblem(ctx, job, r)
}

// ownerProblem returns the problem to report when the ticket's owner did not serve the
// request. Only the owner may report notRun for a ticket: although this instance sent
// nothing, an earlier request with the same ticket may have run.
func (d *Dispatcher) ownerProblem(ctx context.Context, job *Job, r attemptResult) *cwanswer.Problem {
	var p *cwanswer.Problem
	if !errors.As(r.err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "issuer-unreachable", cwanswer.Unknown, r.err.Error())
	}
	if p.Step == "forward" || p.Step == "exit" {
		// Neither the way to the owner nor its check of the request looks at the uses of the ticket.
		p.Outcome = cwanswer.Unknown
	}
	if p.RetryAfterSeconds == 0 {
		p.RetryAfterSeconds = 1
	}
	d.resolveOutcome(ctx, job, p)
	return p
}

func (d *Dispatcher) ticketProblem(status cwpolicy.TicketStatus, job *Job) *cwanswer.Problem {
	switch status {
	case cwpolicy.TicketInvalid:
		return cwanswer.NewProblem(http.StatusBadRequest, "bad-ticket", cwanswer.NotRun, "the ticket was not issued by the gateway").WithOrigin("ticket", "")
	case cwpolicy.TicketMismatch:
		return cwanswer.NewProblem(http.StatusBadRequest, "bad-ticket", cwanswer.NotRun, "the ticket belongs to another service or account").WithOrigin("ticket", "")
	case cwpolicy.TicketRecordExpired:
		return cwanswer.NewProblem(http.StatusConflict, "ticket-forgotten", cwanswer.Unknown, "the ticket is too old to tell whether it was used").WithOrigin("ticket", "")
	case cwpolicy.TicketRegistryFull:
		return cwanswer.NewProblem(http.StatusServiceUnavailable, "tickets-full", cwanswer.NotRun, "no further ticket use can be recorded now").WithOrigin("ticket", "").WithRetryAfterSeconds(1)
	}
	p := cwanswer.NewProblem(http.StatusConflict, "ticket-expired", cwanswer.NotRun, "the ticket expired unused").WithOrigin("ticket", "")
	p.Ticket, _ = d.IssueTicket(job.Service.Name, job.Account.Name)
	return p
}

// TakeOverTickets takes over the tickets of an instance that shuts down. It returns
// false if this instance has itself handed over its tickets.
func (d *Dispatcher) TakeOverTickets(handovers []cwpolicy.TicketHandover) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handovers {
		if !d.tickets.TakeOver(h) {
			return false
		}
	}
	return true
}

// HandOverTickets stops this instance from dispatching further requests with its
// tickets and returns the state that its successor needs. A further call includes the
// outcomes recorded since.
func (d *Dispatcher) HandOverTickets() []cwpolicy.TicketHandover {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets.HandOver(time.Now())
}

// RecordTicketMoves records that the incarnation successor owns the tickets of the
// handovers.
func (d *Dispatcher) RecordTicketMoves(ctx context.Context, handovers []cwpolicy.TicketHandover, successor uint64) {
	for _, h := range handovers {
		d.control.Post(ctx, cwcontrol.TicketsMoved{TicketMove: cwpolicy.TicketMove{From: h.Issuer, To: successor}})
	}
}
