package cwentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// observeRequest records the request in the metrics and in the service-level report.
func (h *Handler) observeRequest(job *cwdispatch.Job, result *cwdispatch.ServeResult, err error) {
	reason, isCounted := failureReason(err)
	h.metrics.recordServed(job.Service.Name, reason, result)
	if !isCounted {
		return
	}
	h.burn.Observe(cwburn.Observation{
		Service:          job.Service.Name,
		Region:           h.Settings.Region,
		Reason:           reason,
		FirstByte:        result.TimeToFirstByte,
		IsServedRemotely: result.Region != "" && result.Region != h.Settings.Region && err == nil,
	}, job.Service.Targets, time.Now())
}

// failureReason returns the reason for which the request consumes error budget. It
// returns false if the request does not count, because the caller ended it, so that
// err wraps context.Canceled, or because the problem has a status below 500.
func failureReason(err error) (cwburn.Reason, bool) {
	if err == nil {
		return cwburn.ReasonNone, true
	}
	if errors.Is(err, context.Canceled) {
		return cwburn.ReasonNone, false
	}
	if errors.Is(err, cwdispatch.ErrTruncated) {
		return cwburn.ReasonTruncated, true
	}
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		return cwburn.ReasonFailed, true
	}
	switch p.Type {
	case "problems/overloaded", "problems/no-room":
		return cwburn.ReasonOverload, true
	case "problems/no-route":
		return cwburn.ReasonNoRoute, true
	}
	return cwburn.ReasonFailed, p.Status >= http.StatusInternalServerError
}

func (h *Handler) logRequest(job *cwdispatch.Job, result *cwdispatch.ServeResult, err error) {
	level := zapcore.InfoLevel
	if err != nil {
		level = zapcore.WarnLevel
	}
	entry := h.Log.Check(level, "request ended")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("request", job.RequestID),
		zap.String("service", job.Service.Name),
		zap.String("account", job.Account.Name),
		zap.String("instance", result.Instance),
		zap.String("endpoint", result.Endpoint),
		zap.String("region", result.Region),
		zap.Int("status", result.Status),
		zap.Int("attempts", result.Attempts),
		zap.Duration("firstByte", result.TimeToFirstByte),
		zap.Duration("took", time.Since(job.ArrivedAt)),
	}
	if err != nil {
		entry.Write(append(fields, zap.String("outcome", string(outcomeOf(err))), zap.Error(err))...)
		return
	}
	entry.Write(append(fields, zap.String("outcome", string(cwanswer.Ran)))...)
}

func outcomeOf(err error) cwanswer.Outcome {
	var p *cwanswer.Problem
	if errors.As(err, &p) {
		return p.Outcome
	}
	return cwanswer.Unknown
}

func (h *Handler) logRefusal(r *http.Request, p *cwanswer.Problem) {
	h.Log.Info("request refused",
		zap.String("request", p.RequestID),
		zap.String("service", r.PathValue("service")),
		zap.Int("status", p.Status),
		zap.String("problem", p.Type),
		zap.String("outcome", string(p.Outcome)))
}
