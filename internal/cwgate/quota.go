package cwgate

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwquota"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// quotaCharge is what a request has spent of its account's quota.
type quotaCharge struct {
	account uint64
	amount  float64
	at      time.Time
}

// chargeQuota charges the request to its account's quota, at the instance that received it from
// the caller, and refuses it if the quota has no room.
func (g *Gate) chargeQuota(_ context.Context, routed *routedRequest) *Refusal {
	charge, limit, isLimited := quotaChargeOf(routed, time.Now())
	if !isLimited {
		return nil
	}
	d := g.quotas.trySpend(&charge, limit)
	if !d.IsAllowed {
		g.metrics.quotaRefusals.Inc(1)
		g.Log.Info("request over the quota", zap.String("request", routed.ID), zap.String("account", routed.account.Name),
			zap.Float64("amount", charge.amount), zap.Float64("level", d.Level), zap.Float64("share", d.Share),
			zap.Duration("inputAge", d.InputAge), zap.Duration("retryAfter", d.RetryAfter))
		return &Refusal{Status: http.StatusTooManyRequests, Reason: "quota", RetryAfter: d.RetryAfter}
	}
	routed.quotaCharge = charge
	return nil
}

// quotaChargeOf returns what a request counts against its account's quota at a time; false if it
// counts nothing at this instance.
func quotaChargeOf(routed *routedRequest, now time.Time) (quotaCharge, cwquota.Limit, bool) {
	account := routed.account
	if account == nil || !account.Quota.IsLimited() || routed.IsRelayed {
		return quotaCharge{}, cwquota.Limit{}, false
	}
	charge := quotaCharge{account: cwquota.AccountID(account.Name), amount: quotaAmount(&account.Quota, routed.Prompt), at: now}
	return charge, cwquota.Limit{PerSecond: account.Quota.PerSecond, Burst: account.Quota.Burst}, true
}

// quotaAmount returns what a request counts; the prompt is nil if it states none.
func quotaAmount(q *cwroute.Quota, prompt *Prompt) float64 {
	switch {
	case q.Unit == cwroute.Requests:
		return 1
	case prompt == nil:
		return q.PlainTokens
	}
	return float64(prompt.Tokens + prompt.MaxOutputTokens)
}

// refundQuota gives back what a request has spent that has certainly not run.
func (g *Gate) refundQuota(routed *routedRequest) {
	if routed.quotaCharge.amount == 0 {
		return
	}
	g.quotas.refund(&routed.quotaCharge)
	g.metrics.quotaRefunds.Inc(1)
	routed.quotaCharge = quotaCharge{}
}

// updateQuotas tells the ledger which other instances spend quotas.
func (g *Gate) updateQuotas(c change) {
	if c.isViewNew {
		g.quotas.setActive(hasQuotas(g.view.Config))
	}
	if !g.quotas.isUpdateDue(c.at) {
		return
	}
	var others []cwquota.Sharer
	for i := range g.snapshot.Members {
		m := &g.snapshot.Members[i]
		if m.Domain == "" || g.sharing.hasEnded(m, g.bounds, c.at) {
			continue
		}
		others = append(others, cwquota.Sharer{
			Source: cwquota.Source{Address: m.PeerAddress, Life: m.Incarnation, Domain: m.Domain}, SilentSince: m.LastContactAt,
		})
	}
	g.quotas.update(others, c.at)
}

// hasQuotas reports whether the configuration limits any account.
func hasQuotas(config *cwroute.Config) bool {
	if config == nil {
		return false
	}
	for i := range config.Accounts {
		if config.Accounts[i].Quota.IsLimited() {
			return true
		}
	}
	return false
}
