// Package cwburn tracks the service-level objectives of one instance: how many
// requests met their targets over several time windows, and why the others did
// not.
package cwburn

import "time"

// Reason is why a request consumed error budget. The zero value means that it
// consumed none.
type Reason string

const (
	// ReasonNone means that the request met its targets.
	ReasonNone Reason = ""
	// ReasonSlow means that the first byte came after its target.
	ReasonSlow Reason = "slow"
	// ReasonOverload means that the request was refused for lack of capacity.
	ReasonOverload Reason = "overload"
	// ReasonNoRoute means that no endpoint in an allowed region was reachable.
	ReasonNoRoute Reason = "route"
	// ReasonFailed means that an endpoint or peer failed.
	ReasonFailed Reason = "failed"
	// ReasonTruncated means that the response was truncated.
	ReasonTruncated Reason = "truncated"
)

// Observation is the outcome of one request. Refusals that the caller itself
// caused are not observed.
type Observation struct {
	// Service and Region identify the series. Region is where the request arrived.
	Service, Region string
	// Reason is ReasonNone for a good request.
	Reason Reason
	// FirstByte is the time to the first byte; 0 if no byte was sent.
	FirstByte time.Duration
	// IsServedRemotely is set if another region served the request.
	IsServedRemotely bool
}
