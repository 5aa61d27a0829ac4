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

// forwardToDomain forwards the job to a random usable instance of the domain.
func (d *Dispatcher) forwardToDomain(ctx context.Context, job *Job, domain string, sink *trackingSink, result *ServeResult) attemptResult {
	members := d.control.Snapshot().UsableMembers(domain, time.Now())
	if len(members) == 0 {
		err := cwanswer.NewProblem(http.StatusServiceUnavailable, "no-route", cwanswer.NotRun, "no instance of the domain is known").WithOrigin("forward", domain)
		return attemptResult{outcome: cwanswer.NotRun, err: err, isRetryable: true}
	}
	member := members[d.randomIndex(len(members))]
	return d.forward(ctx, job, cwpolicy.HopServe, &member, sink, result)
}

func (d *Dispatcher) randomIndex(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// forward forwards the job to one instance and relays the response to the sink.
func (d *Dispatcher) forward(ctx context.Context, job *Job, kind cwpolicy.HopKind, target *cwpolicy.Member, sink *trackingSink, result *ServeResult) attemptResult {
	hopBudget, err := job.HopBudget.Spend(kind, target.Incarnation)
	if err != nil {
		p := cwanswer.NewProblem(http.StatusLoopDetected, "no-hop-left", cwanswer.NotRun, err.Error()).WithOrigin("forward", target.PeerAddress)
		return attemptResult{outcome: cwanswer.NotRun, err: p, isRetryable: true}
	}
	body, err := job.Body.Open()
	if err != nil {
		return attemptResult{outcome: cwanswer.NotRun, err: err}
	}
	if job.OwnsTicket && !d.mayForward(job) {
		p := cwanswer.NewProblem(http.StatusConflict, "ticket-over", cwanswer.NotRun, errTicketUnusable.Error()).WithOrigin("forward", target.PeerAddress)
		return attemptResult{outcome: cwanswer.NotRun, err: p}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := newProgressMonitor(d.Common, d.Settings.IdleTimeout, d.Settings.IdleTimeout, func() {}, func() { cancel(errIdleTimeout) })
	progress.start()
	defer progress.stop()
	head := d.buildForwardHead(job, hopBudget)
	response, err := d.forwarder.Forward(ctx, target.PeerAddress, head, body)
	if err != nil {
		return d.handleForwardError(target, err)
	}
	defer response.Close()
	result.Instance, result.Endpoint, result.Region = response.Head.Instance, response.Head.Endpoint, response.Head.Region
	return d.relayResponse(ctx, job, response, progress, sink, result)
}

// mayForward reports whether a request with the job's ticket may still be sent. It is
// called right before the request is sent.
func (d *Dispatcher) mayForward(job *Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets.MayDispatch(job.TicketID, time.Now())
}

func (d *Dispatcher) buildForwardHead(job *Job, hopBudget cwpolicy.HopBudget) *cwpeer.ForwardHead {
	head := &cwpeer.ForwardHead{
		Version:          cwpeer.ProtocolVersion,
		RequestID:        job.RequestID,
		AttemptID:        NewID(),
		Service:          job.Service.Name,
		Method:           job.Method,
		Path:             job.Path,
		Query:            job.Query,
		KeyHash:          job.Account.KeySHA256,
		Header:           job.Header,
		Length:           job.Body.Length(),
		RemainingMillis:  time.Until(job.Deadline).Milliseconds(),
		HopBudget:        hopBudget.String(),
		ArrivalRegion:    job.ArrivalRegion,
		IsSpillover:      job.AllowedRegions.Contains(d.Settings.Region),
		Ticket:           job.Ticket,
		SenderOwnsTicket: job.OwnsTicket,
	}
	if job.OwnsTicket {
		head.TicketRemainingMillis = time.Until(job.TicketExpiry).Milliseconds()
	}
	return head
}

// handleForwardError returns the result of an attempt whose response did not start.
// A peer to which nothing could be sent is reported to the control state as failed.
func (d *Dispatcher) handleForwardError(target *cwpolicy.Member, err error) attemptResult {
	r := attemptResult{outcome: cwanswer.Unknown, err: err, isRetryable: true}
	var p *cwanswer.Problem
	if errors.As(err, &p) {
		r.outcome = p.Outcome
	}
	if r.outcome == cwanswer.NotRun && p != nil && p.Step == "forward" {
		d.control.TryPost(cwcontrol.PeerFailed{Address: target.PeerAddress})
	}
	return r
}

// relayResponse copies the response of another instance to the sink, frame by frame.
func (d *Dispatcher) relayResponse(ctx context.Context, job *Job, response *cwpeer.ForwardedResponse, progress *progressMonitor, sink *trackingSink, result *ServeResult) attemptResult {
	result.TimeToFirstByte = time.Since(job.ArrivedAt)
	result.Status = response.Head.Status
	if err := sink.Start(response.Head.Status, response.Head.Header, result); err != nil {
		return attemptResult{outcome: cwanswer.Unknown, err: err}
	}
	for {
		frame, err := response.Stream.Next()
		if errors.Is(err, io.EOF) {
			return attemptResult{outcome: cwanswer.Outcome(response.Stream.Outcome())}
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, err)
			}
			return attemptResult{outcome: cwanswer.Unknown, err: err}
		}
		progress.recordProgress()
		if err := writeFrame(frame, sink, response.Stream.HasBufferedData()); err != nil {
			return attemptResult{outcome: cwanswer.Unknown, err: err}
		}
	}
}

func writeFrame(frame cwframe.Frame, sink *trackingSink, hasMore bool) error {
	switch frame.Kind {
	case cwframe.Failure:
		p := &cwanswer.Problem{}
		_ = json.Unmarshal(frame.Payload, p)
		return p
	case cwframe.Data:
		if _, err := sink.Write(frame.Payload); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
		// Frames that have already been received are flushed together.
		if !hasMore {
			sink.Flush()
		}
	}
	return nil
}
