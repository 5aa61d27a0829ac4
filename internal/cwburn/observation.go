// Package cwburn keeps the service-level report of one instance: how many
// requests met their targets over several windows, and why the others did not.
package cwburn

import "time"

// Reason says why a request burnt error budget. The zero value means that it did
// not.
type Reason string

const (
	// ReasonNone means that the request met its targets.
	ReasonNone Reason = ""
	// ReasonSlow means that the first byte came after its target.
	ReasonSlow Reason = "slow"
	// ReasonOverload means that the request was refused for lack of capacity.
	ReasonOverload Reason = "overload"
	// ReasonNoRoute means that no permitted place was reachable.
	ReasonNoRoute Reason = "route"
	// ReasonFailed means that an endpoint or peer failed.
	ReasonFailed Reason = "failed"
	// ReasonTruncated means that the answer broke off.
	ReasonTruncated Reason = "truncated"
)

// Observation is one request as it ended. Refusals that are the caller's own
// doing are not observed.
type Observation struct {
	// Service and Region name the series; Region is where the request arrived.
	Service, Region string
	// Reason is None for a good request.
	Reason Reason
	// FirstByte is the time to the first byte; 0 if none was sent.
	FirstByte time.Duration
	// IsServedRemotely is set if another region served it.
	IsServedRemotely bool
}
