package cwroute

// QuotaUnit is what a quota counts.
type QuotaUnit int

const (
	// Requests counts each request as one.
	Requests QuotaUnit = iota
	// Tokens counts the tokens of a request, those of its prompt and of its longest output.
	Tokens
)

// String returns the unit as operators read it.
func (u QuotaUnit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Quota is the rate that a client account may use, over all instances together.
type Quota struct {
	// Unit is the unit of the other fields.
	Unit QuotaUnit
	// PerSecond is the rate that may be used for good, and Burst what may be used at once
	// beyond it. A PerSecond of 0 means no limit.
	PerSecond, Burst float64
	// PlainTokens is what a request counts that states no tokens, if the unit is Tokens.
	PlainTokens float64
}

// IsLimited reports whether the quota limits anything.
func (q *Quota) IsLimited() bool {
	return q.PerSecond > 0
}
