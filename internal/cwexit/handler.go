// Package cwexit serves requests that other instances forward.
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

// Handler serves forwarded requests.
type Handler struct {
	*cwcommon.Common
	control    *cwcontrol.Control
	dispatcher *cwdispatch.Dispatcher
	auth       *cwpeer.Auth
}

// NewHandler returns a handler that authenticates the forwarding instances with auth.
func NewHandler(common *cwcommon.Common, control *cwcontrol.Control, dispatcher *cwdispatch.Dispatcher, auth *cwpeer.Auth) *Handler {
	return &Handler{Common: common, control: control, dispatcher: dispatcher, auth: auth}
}

// ServeHTTP serves one forwarded request. The response is a framed stream.
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
	// The body is read while the response is written.
	_ = http.NewResponseController(w).EnableFullDuplex()
	sink := newFrameSink(w, head.AttemptID)
	result, err := h.serve(r.Context(), head, stream, sink)
	h.finish(sink, head, result, err)
	// The connection can be reused only after the body is read to its end. After the end
	// frame, only the end of the chunked encoding is left.
	_, _ = io.CopyN(io.Discard, r.Body, cwframe.MaxPayloadBytes)
}

func (h *Handler) serve(ctx context.Context, head *cwpeer.ForwardHead, stream *cwframe.Reader, sink *frameSink) (*cwdispatch.ServeResult, error) {
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
		if err := readEndFrame(stream); err != nil {
			return &cwdispatch.ServeResult{}, cwanswer.NewProblem(http.StatusBadRequest, "bad-body", cwanswer.NotRun, err.Error()).WithOrigin("exit", h.Settings.PeerAddress)
		}
	}
	if !h.dispatcher.BeginRequest(job.Account.Name, 0) {
		return &cwdispatch.ServeResult{}, nil
	}
	defer h.dispatcher.EndRequest(job.Account.Name)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	if job.Ticket != "" && !head.SenderOwnsTicket {
		return h.dispatcher.ServeTicket(ctx, job, sink)
	}
	return h.dispatcher.Serve(ctx, job, sink)
}

// readEndFrame reads the end frame of a request whose body is buffered. It fails if
// the body is longer than announced. The connection can be reused only after that.
func readEndFrame(stream *cwframe.Reader) error {
	n, err := io.Copy(io.Discard, stream)
	if err == nil && n > 0 {
		err = fmt.Errorf("body is %d bytes longer than announced", n)
	}
	return err
}

// buildJob checks the request against this instance's own configuration, which may be
// older or newer than the sender's. A request must be allowed by both. The job has no
// Body yet.
func (h *Handler) buildJob(head *cwpeer.ForwardHead) (*cwdispatch.Job, *cwanswer.Problem) {
	s := h.control.Snapshot()
	service := s.Config.Service(head.Service)
	account := s.Config.AccountByKeyHash(head.KeyHash)
	if service == nil || account == nil || !account.MayCall(head.Service) {
		return nil, h.newProblem(http.StatusForbidden, "not-allowed", "this instance's configuration does not allow the request")
	}
	hopBudget, err := cwpolicy.ParseHopBudget(head.HopBudget)
	if err != nil {
		return nil, h.newProblem(http.StatusBadRequest, "bad-hop", err.Error())
	}
	allowedRegions := cwpolicy.NewAllowedRegions(service.Places, account.Home)
	isForTicketOwner := head.Ticket != "" && !head.SenderOwnsTicket
	if !allowedRegions.Contains(h.Settings.Region) && !isForTicketOwner {
		return nil, h.newProblem(http.StatusMisdirectedRequest, "other-place", "this region is not among the places of the request")
	}
	if s.Self.IsLeaving && !isForTicketOwner {
		return nil, h.newProblem(http.StatusServiceUnavailable, "leaving", "the instance shuts down")
	}
	if head.IsSpillover && !isForTicketOwner && !h.dispatcher.AcceptsSpillover(service) {
		return nil, h.newProblem(http.StatusServiceUnavailable, "no-room", "the domain keeps its free slots for its own callers")
	}
	now := time.Now()
	timeout := min(head.Remaining(), service.Targets.Deadline())
	if timeout <= 0 {
		return nil, h.newProblem(http.StatusGatewayTimeout, "too-late", "the deadline has passed")
	}
	return &cwdispatch.Job{
		RequestID:      head.RequestID,
		Service:        service,
		Account:        account,
		AllowedRegions: allowedRegions,
		Method:         head.Method,
		Path:           head.Path,
		Query:          head.Query,
		Header:         head.Header,
		IsRepeatable:   head.Ticket == "" && service.Repeatable(head.Method, head.Path),
		Ticket:         head.Ticket,
		TicketExpiry:   now.Add(time.Duration(head.TicketRemainingMillis) * time.Millisecond),
		Deadline:       now.Add(timeout),
		ArrivedAt:      now,
		HopBudget:      hopBudget,
		ArrivalRegion:  head.ArrivalRegion,
	}, nil
}

func (h *Handler) newProblem(status int, kind, detail string) *cwanswer.Problem {
	return cwanswer.NewProblem(status, kind, cwanswer.NotRun, detail).WithOrigin("exit", h.Settings.PeerAddress)
}

// finish ends the stream with an end frame, or with a failure frame if err is set.
func (h *Handler) finish(sink *frameSink, head *cwpeer.ForwardHead, result *cwdispatch.ServeResult, err error) {
	if err == nil {
		if err := sink.frames.Close(string(cwanswer.Ran)); err != nil {
			h.Log.Debug("response not sent to the forwarding instance", zap.String("request", head.RequestID), zap.Error(err))
		}
		sink.Flush()
		return
	}
	h.Log.Info("forwarded request failed",
		zap.String("request", head.RequestID), zap.String("service", head.Service),
		zap.String("endpoint", result.Endpoint), zap.Error(err))
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		p = cwanswer.NewProblem(http.StatusBadGateway, "attempt-failed", cwanswer.Unknown, err.Error()).WithOrigin("exit", h.Settings.PeerAddress)
	}
	if writeErr := sink.frames.WriteMessage(cwframe.Failure, p); writeErr != nil {
		h.Log.Debug("error not sent to the forwarding instance", zap.String("request", head.RequestID), zap.Error(writeErr))
	}
	sink.Flush()
}
