// Package cwexit serves requests that other instances pass on.
package cwexit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// Handler answers forwarded requests.
type Handler struct {
	*cwcommon.Common
	control    *cwcontrol.Control
	dispatcher *cwdispatch.Dispatcher
	auth       *cwpeer.Auth
}

// NewHandler returns a handler that checks senders with auth.
func NewHandler(common *cwcommon.Common, control *cwcontrol.Control, dispatcher *cwdispatch.Dispatcher, auth *cwpeer.Auth) *Handler {
	return &Handler{Common: common, control: control, dispatcher: dispatcher, auth: auth}
}

// ServeHTTP serves one forwarded request. The answer is a framed stream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stream := cwframe.NewReader(r.Body)
	head := &cwpeer.ForwardHead{}
	message, err := stream.ReadMessage(cwframe.Head, head)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.auth.VerifyForward(r.Header, message, time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	// The body is still read while the answer is written.
	_ = http.NewResponseController(w).EnableFullDuplex()
	out := newFrameSink(w, head.AttemptID)
	served, err := h.serve(r.Context(), head, stream, out)
	h.finish(out, head, served, err)
	// Behind the end mark only the end of the chunks is left.
	_, _ = io.CopyN(io.Discard, r.Body, cwframe.MaxPayloadBytes)
}

func (h *Handler) serve(ctx context.Context, head *cwpeer.ForwardHead, stream *cwframe.Reader, out *frameSink) (*cwdispatch.ServeResult, error) {
	job, problem := h.buildJob(head)
	if problem != nil {
		return &cwdispatch.ServeResult{}, problem
	}
	body, err := cwdispatch.ReadBody(stream, head.Length)
	if err != nil {
		return &cwdispatch.ServeResult{}, cwanswer.NewProblem(http.StatusBadRequest, "bad-body", cwanswer.NotRun, err.Error()).WithOrigin("exit", h.Settings.PeerAddress)
	}
	job.Body = body
	if body.IsFullyBuffered() {
		if err := readEndMark(stream); err != nil {
			return &cwdispatch.ServeResult{}, cwanswer.NewProblem(http.StatusBadRequest, "bad-body", cwanswer.NotRun, err.Error()).WithOrigin("exit", h.Settings.PeerAddress)
		}
	}
	if !h.dispatcher.BeginRequest(job.Account.Name, 0) {
		return &cwdispatch.ServeResult{}, nil
	}
	defer h.dispatcher.EndRequest(job.Account.Name)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	if job.Ticket != "" && !head.Dispatchable {
		return h.dispatcher.ServeTicket(ctx, job, out)
	}
	return h.dispatcher.Serve(ctx, job, out)
}

// readEndMark reads the end mark of a request whose body has its announced length.
// Without it the connection could not be used again.
func readEndMark(stream *cwframe.Reader) error {
	n, err := io.Copy(io.Discard, stream)
	if err == nil && n > 0 {
		err = fmt.Errorf("body is %d bytes longer than announced", n)
	}
	return err
}

// buildJob checks the request against this instance's own configuration, which may be
// older or newer than the sender's: if either refuses, the request is refused.
func (h *Handler) buildJob(head *cwpeer.ForwardHead) (*cwdispatch.Job, *cwanswer.Problem) {
	s := h.control.Snapshot()
	service := s.Config.Service(head.Service)
	account := s.Config.AccountByKeyHash(head.KeyHash)
	if service == nil || account == nil || !account.MayCall(head.Service) {
		return nil, h.newProblem(http.StatusForbidden, "not-allowed", "this instance's configuration does not allow the request")
	}
	hop, err := cwpolicy.ParseHopBudget(head.Hop)
	if err != nil {
		return nil, h.newProblem(http.StatusBadRequest, "bad-hop", err.Error())
	}
	places := cwpolicy.NewAllowedRegions(service.Places, account.Home)
	forOwner := head.Ticket != "" && !head.Dispatchable
	if !places.Contains(h.Settings.Region) && !forOwner {
		return nil, h.newProblem(http.StatusMisdirectedRequest, "other-place", "this region is not among the places of the request")
	}
	if s.Self.IsLeaving && !forOwner {
		return nil, h.newProblem(http.StatusServiceUnavailable, "leaving", "the instance shuts down")
	}
	if head.ByChoice && !forOwner && !h.dispatcher.AcceptsSpillover(service) {
		return nil, h.newProblem(http.StatusServiceUnavailable, "no-room", "the domain keeps its free slots for its own callers")
	}
	now := time.Now()
	left := min(head.Remaining(), service.Targets.Deadline())
	if left <= 0 {
		return nil, h.newProblem(http.StatusGatewayTimeout, "too-late", "the deadline has passed")
	}
	return &cwdispatch.Job{
		RequestID:      head.RequestID,
		Service:        service,
		Account:        account,
		AllowedRegions: places,
		Method:         head.Method,
		Path:           head.Path,
		Query:          head.Query,
		Header:         head.Header,
		IsRepeatable:   head.Ticket == "" && service.Repeatable(head.Method, head.Path),
		Ticket:         head.Ticket,
		TicketExpiry:   now.Add(time.Duration(head.TicketRemainingMillis) * time.Millisecond),
		Deadline:       now.Add(left),
		ArrivedAt:      now,
		HopBudget:      hop,
		ArrivalRegion:  head.Region,
	}, nil
}

func (h *Handler) newProblem(status int, kind, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(status, kind, cwanswer.NotRun, detail).WithOrigin("exit", h.Settings.PeerAddress)
}

// finish closes the stream with its end mark, or with the problem.
func (h *Handler) finish(out *frameSink, head *cwpeer.ForwardHead, served *cwdispatch.ServeResult, err error) {
	if err == nil {
		if err := out.frames.Close(string(cwanswer.Ran)); err != nil {
			h.Log.Debug("answer not passed back", zap.String("request", head.RequestID), zap.Error(err))
		}
		out.Flush()
		return
	}
	h.Log.Info("forwarded request failed",
		zap.String("request", head.RequestID), zap.String("service", head.Service),
		zap.String("endpoint", served.Endpoint), zap.Error(err))
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", cwanswer.Unknown, err.Error()).WithOrigin("exit", h.Settings.PeerAddress)
	}
	if werr := out.frames.WriteMessage(cwframe.Failure, p); werr != nil {
		h.Log.Debug("failure not passed back", zap.String("request", head.RequestID), zap.Error(werr))
	}
	out.Flush()
}
