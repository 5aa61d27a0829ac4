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

// observeRequest counts the request in the service-level report.
func (h *Handler) observeRequest(job *cwdispatch.Job, served *cwdispatch.ServeResult, err error) {
	reason, counts := failureReason(err)
	h.metrics.recordServed(job.Service.Name, reason, served)
	if !counts {
		return
	}
	h.burn.Observe(cwburn.Observation{
		Service:          job.Service.Name,
		Region:           h.Settings.Region,
		Reason:           reason,
		FirstByte:        served.TimeToFirstByte,
		IsServedRemotely: served.Region != "" && served.Region != h.Settings.Region && err == nil,
	}, job.Service.Targets, time.Now())
}

// failureReason returns why the request burnt budget, and false if it does not count
// because the caller caused its end.
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

func (h *Handler) logRequest(job *cwdispatch.Job, served *cwdispatch.ServeResult, err error) {
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
		zap.String("instance", served.Instance),
		zap.String("endpoint", served.Endpoint),
		zap.String("region", served.Region),
		zap.Int("status", served.Status),
		zap.Int("attempts", served.Attempts),
		zap.Duration("firstByte", served.TimeToFirstByte),
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
