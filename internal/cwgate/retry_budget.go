package cwgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// retryBudget returns the retry budget of the service; it adds one if there is none. The
// caller holds mu.
func (g *Gate) retryBudget(service string) *cwplacement.RetryBudget {
	budget := g.budgets[service]
	if budget == nil {
		budget = cwplacement.NewRetryBudget(g.bounds.RetryRatio, g.bounds.RetrySlack, g.bounds.RetryWindow, g.startedAt)
		g.budgets[service] = budget
	}
	return budget
}

// spendRetry spends the budget for one more attempt of the request. It returns false if the budget is
// exhausted. The caller holds mu.
func (g *Gate) spendRetry(routed *routedRequest, now time.Time) bool {
	budget, instances := g.retryBudget(routed.service), g.instanceCount()
	if budget.TrySpend(instances, now) {
		g.metrics.countRetryBudget("spent", routed.service)
		return true
	}
	g.metrics.countRetryBudget("denied", routed.service)
	if routed.isRetryDenied {
		return false // An overdue attempt asks again and again.
	}
	routed.isRetryDenied = true
	state := budget.State(instances, now)
	g.Log.Info("retry budget exhausted", zap.String("request", routed.ID), zap.String("service", routed.service), zap.Int("attempts", routed.attempts),
		zap.Int("requests", state.Requests), zap.Int("retries", state.Retries), zap.Float64("allowance", state.Allowance), zap.Int("instances", state.Instances),
		zap.Duration("uptime", now.Sub(g.startedAt)))
	return false
}

// refundRetry takes back an attempt that was paid for at spentAt and not made. The caller holds mu.
func (g *Gate) refundRetry(routed *routedRequest, spentAt time.Time) {
	g.retryBudget(routed.service).Refund(spentAt, time.Now())
	g.metrics.countRetryBudget("refunded", routed.service)
}

// instanceCount returns the number of instances that share the global limits. Unresponsive
// ones count too, since they may only be partitioned from this one.
func (g *Gate) instanceCount() int {
	return len(g.control.Snapshot().Members) + 1
}
