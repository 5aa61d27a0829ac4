package cwdispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// forwardToDomain passes the job to an instance of the domain.
func (d *Dispatcher) forwardToDomain(ctx context.Context, job *Job, domain string, out *trackingSink, served *ServeResult) attemptResult {
	exits := d.control.Snapshot().UsableMembers(domain, time.Now())
	if len(exits) == 0 {
		err := cwanswer.NewProblem(http.StatusServiceUnavailable, "no-route", cwanswer.NotRun, "no instance of the domain is known").WithOrigin("forward", domain)
		return attemptResult{outcome: cwanswer.NotRun, err: err, isRetryable: true}
	}
	exit := exits[d.randomIndex(len(exits))]
	return d.forward(ctx, job, cwpolicy.HopServe, &exit, out, served)
}

func (d *Dispatcher) randomIndex(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// forward passes the job to one instance and its answer to the sink.
func (d *Dispatcher) forward(ctx context.Context, job *Job, kind cwpolicy.HopKind, to *cwpolicy.Member, out *trackingSink, served *ServeResult) attemptResult {
	hop, err := job.HopBudget.Spend(kind, to.Incarnation)
	if err != nil {
		p := cwanswer.NewProblem(http.StatusLoopDetected, "no-hop-left", cwanswer.NotRun, err.Error()).WithOrigin("forward", to.PeerAddress)
		return attemptResult{outcome: cwanswer.NotRun, err: p, isRetryable: true}
	}
	body, err := job.Body.Open()
	if err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	if job.OwnsTicket && !d.mayForward(job) {
		p := cwanswer.NewProblem(http.StatusConflict, "ticket-over", cwanswer.NotRun, errTicketUnusable.Error()).WithOrigin("forward", to.PeerAddress)
		return attemptResult{outcome: cwanswer.NotRun, err: p}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := newProgressMonitor(d.Settings.IdleTimeout, d.Settings.IdleTimeout, func() {}, func() { cancel(errIdleTimeout) })
	quiet.start()
	defer quiet.stop()
	head := d.buildForwardHead(job, hop)
	forwarded, err := d.forwarder.Forward(ctx, to.PeerAddress, head, body)
	if err != nil {
		return d.handleForwardError(to, err)
	}
	defer forwarded.Close()
	served.Instance, served.Endpoint, served.Region = forwarded.Head.Instance, forwarded.Head.Endpoint, forwarded.Head.Region
	return d.relayResponse(ctx, job, forwarded, quiet, out, served)
}

// mayForward asks the ticket book right before the request leaves.
func (d *Dispatcher) mayForward(job *Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets.MayDispatch(job.TicketID, time.Now())
}

func (d *Dispatcher) buildForwardHead(job *Job, hop cwpolicy.HopBudget) *cwpeer.ForwardHead {
	head := &cwpeer.ForwardHead{
		Version:         cwpeer.ProtocolVersion,
		RequestID:       job.RequestID,
		AttemptID:       NewID(),
		Service:         job.Service.Name,
		Method:          job.Method,
		Path:            job.Path,
		Query:           job.Query,
		KeyHash:         job.Account.KeySHA256,
		Header:          job.Header,
		Length:          job.Body.Length(),
		RemainingMillis: time.Until(job.Deadline).Milliseconds(),
		Hop:             hop.String(),
		Region:          job.ArrivalRegion,
		ByChoice:        job.AllowedRegions.Contains(d.Settings.Region),
		Ticket:          job.Ticket,
		Dispatchable:    job.OwnsTicket,
	}
	if job.OwnsTicket {
		head.TicketRemainingMillis = time.Until(job.TicketExpiry).Milliseconds()
	}
	return head
}

func (d *Dispatcher) handleForwardError(to *cwpolicy.Member, err error) attemptResult {
	r := attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true}
	var p *cwanswer.Problem
	if errors.As(err, &p) {
		r.outcome = p.Outcome
	}
	if r.outcome == cwanswer.NotRun && p != nil && p.Step == "forward" {
		d.control.TryPost(cwcontrol.PeerFailed{Address: to.PeerAddress})
	}
	return r
}

// relayResponse passes a forwarded answer on, frame by frame.
func (d *Dispatcher) relayResponse(ctx context.Context, job *Job, f *cwpeer.ForwardedResponse, quiet *progressMonitor, out *trackingSink, served *ServeResult) attemptResult {
	served.TimeToFirstByte = time.Since(job.ArrivedAt)
	served.Status = f.Head.Status
	if err := out.Start(f.Head.Status, f.Head.Header, served); err != nil {
		return attemptResult{outcome: cwanswer.Unknown, err: err}
	}
	for {
		frame, err := f.Stream.Next()
		if errors.Is(err, io.EOF) {
			return attemptResult{outcome: cwanswer.Outcome(f.Stream.Outcome())}
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			return attemptResult{outcome: cwanswer.Unknown, err: err}
		}
		quiet.recordProgress()
		if err := writeFrame(frame, out, f.Stream.HasBufferedData()); err != nil {
			return attemptResult{outcome: cwanswer.Unknown, err: err}
		}
	}
}

func writeFrame(frame cwframe.Frame, out *trackingSink, more bool) error {
	switch frame.Kind {
	case cwframe.Failure:
		p := &cwanswer.Problem{}
		_ = json.Unmarshal(frame.Payload, p)
		return p
	case cwframe.Data:
		if _, err := out.Write(frame.Payload); err != nil {
			return fmt.Errorf("pass answer on: %w", err)
		}
		// What comes right behind goes out in the same packet.
		if !more {
			out.Flush()
		}
	}
	return nil
}
