package cwplacement

import "time"

// Action is what happens to a request.
type Action int

const (
	// ActionSend sends it to the endpoint of the placement.
	ActionSend Action = iota
	// ActionRelay relays it to an instance in the named domain.
	ActionRelay
	// ActionRefuse refuses it.
	ActionRefuse
)

// Decision is the action for a request, with its parameters and the predictions behind
// it.
type Decision struct {
	// Action is what happens to the request.
	Action Action
	// Placement is set for ActionSend.
	Placement *Placement
	// IsEndpointLimited is set for ActionSend if the endpoint names a rate limit.
	IsEndpointLimited bool
	// Domain is set for ActionRelay.
	Domain string
	// RetryAfter is set for ActionRefuse: the time after which capacity is likely.
	RetryAfter time.Duration
	// IsReturnExpected is set for ActionRefuse if an endpoint is silent no longer than a sound
	// one may be. Pool.AwaitsReturn then reports when to decide again.
	IsReturnExpected bool
	// Reason is the reason for the action, for logs and metrics.
	Reason string
	// Exclusions is set for ActionRefuse if there is no place: what excludes each.
	Exclusions *Exclusions
	// LocalFirstByte and RemoteFirstByte are the predicted times to the first byte in
	// this region and in another one; negative if the request can't be placed there or
	// other regions were not considered.
	LocalFirstByte, RemoteFirstByte time.Duration
	// RestOfResponse is the predicted time from the first byte to the last, for
	// ActionSend.
	RestOfResponse time.Duration

	// relayedTokens is the work of a relayed request, and summaryAt the time of the capacity
	// summary that it was added to.
	relayedTokens float64
	summaryAt     time.Time
}
