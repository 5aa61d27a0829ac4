package cwgate

import "time"

// QuotaExplanation is what is left of an account's quota as this instance sees it, and whether the
// request fits.
type QuotaExplanation struct {
	// Unit is what the amounts count: requests or tokens.
	Unit string `json:"unit"`
	// PerSecond and Burst are the quota over all instances.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// Amount is what the request counts, and IsAllowed is set if it fits now.
	Amount    float64 `json:"amount"`
	IsAllowed bool    `json:"allowed"`
	// Level is what the account has left, and Spendable the part of it that this instance may spend
	// now.
	Level     float64 `json:"level"`
	Spendable float64 `json:"spendable"`
	// ShareInContact is the part of the quota, from 0 to 1, that belongs to the instances in contact
	// with this one.
	ShareInContact float64 `json:"shareInContact"`
	// InputAgeSeconds is the age of the oldest statement of another instance or domain that counts.
	InputAgeSeconds float64 `json:"inputAgeSeconds"`
	// RetryAfterSeconds is when a request fits that does not now.
	RetryAfterSeconds float64 `json:"retryAfterSeconds"`
}

// explainQuota returns what is left of the quota of the request's account; nil if it has none.
func (g *Gate) explainQuota(routed *routedRequest, now time.Time) *QuotaExplanation {
	charge, limit, isLimited := quotaChargeOf(routed, now)
	if !isLimited {
		return nil
	}
	d, spendable := g.quotas.explain(&charge, limit)
	return &QuotaExplanation{
		Unit: routed.account.Quota.Unit.String(), PerSecond: limit.PerSecond, Burst: limit.Burst, Amount: charge.amount, IsAllowed: d.IsAllowed,
		Level: d.Level, Spendable: spendable, ShareInContact: d.Share, InputAgeSeconds: d.InputAge.Seconds(), RetryAfterSeconds: d.RetryAfter.Seconds(),
	}
}
