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

// IssueTicket returns a new ticket, or false once this instance leaves.
func (d *Dispatcher) IssueTicket(service, account string) (string, bool) {
	var id cwpolicy.TicketID
	_, _ = rand.Read(id[:])
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Issue(id, service, account, time.Now())
}

// ServeTicket runs a job that must not be repeated, at most once for its ticket.
// Errors are as for Serve.
func (d *Dispatcher) ServeTicket(ctx context.Context, job *Job, sink Sink) (*Served, error) {
	now := time.Now()
	d.mu.Lock()
	verdict, use := d.book.Begin(job.Ticket, job.Service.Name, job.Account.Name, now)
	var run *ticketRun
	switch verdict {
	case cwpolicy.TicketRun:
		run = newTicketRun()
		d.keep(use.ID, run)
	case cwpolicy.TicketJoin, cwpolicy.TicketEnded:
		run = d.runs[use.ID]
	}
	d.mu.Unlock()
	switch verdict {
	case cwpolicy.TicketRun:
		return d.runOnce(ctx, job, use, run, sink)
	case cwpolicy.TicketJoin, cwpolicy.TicketEnded:
		return d.join(ctx, job, use, run, sink)
	case cwpolicy.TicketOwnedElsewhere, cwpolicy.TicketHandedOver:
		return d.passToOwner(ctx, job, sink)
	}
	return &Served{}, d.ticketRefusal(verdict, job)
}

// keep remembers a run for duplicates. The oldest ended run makes room; the
// ticket book still knows that it was used. The caller holds mu.
func (d *Dispatcher) keep(id cwpolicy.TicketID, run *ticketRun) {
	d.runs[id] = run
	d.runOrder = append(d.runOrder, id)
	if len(d.runOrder) <= maxKeptRuns {
		return
	}
	oldest := d.runOrder[0]
	select {
	case <-d.runs[oldest].done:
		d.runOrder = d.runOrder[1:]
		delete(d.runs, oldest)
	default:
	}
}

// runOnce runs the job to its end even if the caller goes, so that duplicates
// get the answer.
func (d *Dispatcher) runOnce(ctx context.Context, job *Job, use *cwpolicy.TicketUse, run *ticketRun, sink Sink) (*Served, error) {
	job.TicketID, job.TicketExpiry, job.OwnsTicket = use.ID, use.Expiry, true
	job.Repeatable = false
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), job.Deadline)
	defer cancel()
	served, err := d.Serve(ctx, job, &recorder{live: sink, run: run})
	run.served = *served
	run.outcome = job.outcomeNow()
	var p *cwanswer.Problem
	if errors.As(err, &p) && !errors.Is(err, ErrTruncated) {
		d.settle(ctx, job, p)
		run.problem, run.outcome = p, p.Outcome
	}
	if errors.Is(err, ErrTruncated) {
		run.tooLong = true
	}
	d.mu.Lock()
	d.book.End(use.ID, run.outcome)
	d.mu.Unlock()
	close(run.done)
	return served, err
}

func (d *Dispatcher) join(ctx context.Context, job *Job, use *cwpolicy.TicketUse, run *ticketRun, sink Sink) (*Served, error) {
	if run == nil {
		return &Served{}, answerLost(use.Outcome)
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	select {
	case <-run.done:
		return run.replay(sink)
	case <-ctx.Done():
		return &Served{}, cwanswer.NewProblem(http.StatusGatewayTimeout, "still-running", cwanswer.Unknown,
			"the request runs under this ticket and has no answer yet").At("ticket", "").After(1)
	}
}

// passToOwner forwards the job to the instance that owns its ticket. If there is
// none, nobody can say any more whether the request ran.
func (d *Dispatcher) passToOwner(ctx context.Context, job *Job, sink Sink) (*Served, error) {
	t, err := cwpolicy.ParseTicket(job.Ticket)
	if err != nil {
		return &Served{}, d.ticketRefusal(cwpolicy.TicketInvalid, job)
	}
	owner := d.control.Snapshot().Owner(t.Issuer)
	if owner == nil || owner.Incarnation == d.Incarnation || job.Hop.TicketHopsLeft == 0 {
		p := cwanswer.NewProblem(http.StatusBadGateway, "issuer-gone", cwanswer.Unknown,
			"the instance that issued the ticket is gone; look the request up before trying with a new ticket").At("ticket", "")
		d.settle(ctx, job, p)
		return &Served{}, p
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	served := &Served{}
	out := &delivery{Sink: sink}
	r := d.forward(ctx, job, cwpolicy.HopTicket, owner, out, served)
	if r.err == nil {
		return served, nil
	}
	if out.started.Load() {
		return served, errors.Join(ErrTruncated, r.err)
	}
	return served, d.ownerProblem(ctx, job, r)
}

// ownerProblem is the answer when the owner failed. Only the owner may say notRun
// for a ticket: that this instance sent nothing proves nothing about an earlier
// request with the same ticket.
func (d *Dispatcher) ownerProblem(ctx context.Context, job *Job, r result) *cwanswer.Problem {
	var p *cwanswer.Problem
	if !errors.As(r.err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "issuer-unreachable", cwanswer.Unknown, r.err.Error())
	}
	if p.Step == "forward" {
		p.Outcome = cwanswer.Unknown
	}
	if p.RetryAfterSeconds == 0 {
		p.RetryAfterSeconds = 1
	}
	d.settle(ctx, job, p)
	return p
}

func (d *Dispatcher) ticketRefusal(verdict cwpolicy.TicketStatus, job *Job) *cwanswer.Problem {
	switch verdict {
	case cwpolicy.TicketInvalid:
		return cwanswer.NewProblem(http.StatusBadRequest, "bad-ticket", cwanswer.NotRun, "the ticket was not issued by the gateway").At("ticket", "")
	case cwpolicy.TicketMismatch:
		return cwanswer.NewProblem(http.StatusBadRequest, "bad-ticket", cwanswer.NotRun, "the ticket belongs to another service or account").At("ticket", "")
	case cwpolicy.TicketRecordExpired:
		return cwanswer.NewProblem(http.StatusConflict, "ticket-forgotten", cwanswer.Unknown, "the ticket is too old to tell whether it was used").At("ticket", "")
	case cwpolicy.TicketRegistryFull:
		return cwanswer.NewProblem(http.StatusServiceUnavailable, "tickets-full", cwanswer.NotRun, "no further ticket use can be recorded now").At("ticket", "").After(1)
	}
	p := cwanswer.NewProblem(http.StatusConflict, "ticket-expired", cwanswer.NotRun, "the ticket expired unused").At("ticket", "")
	p.Ticket, _ = d.IssueTicket(job.Service.Name, job.Account.Name)
	return p
}

// Adopt takes over tickets from an instance that leaves.
func (d *Dispatcher) Adopt(handovers []cwpolicy.TicketHandover) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range handovers {
		if !d.book.TakeOver(h) {
			return false
		}
	}
	return true
}

// GiveUp ends this instance's right to run tickets and returns what its
// successor needs. It may be called again for outcomes that came since.
func (d *Dispatcher) GiveUp() []cwpolicy.TicketHandover {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.HandOver(time.Now())
}

// Moved records where the tickets of this instance went.
func (d *Dispatcher) Moved(ctx context.Context, handovers []cwpolicy.TicketHandover, successor uint64) {
	for _, h := range handovers {
		d.control.Post(ctx, cwcontrol.TicketsMoved{TicketMove: cwpolicy.TicketMove{From: h.Issuer, To: successor}})
	}
}
