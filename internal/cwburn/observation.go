// Package cwburn keeps the service-level report of one instance: how many
// requests met their targets over several windows, and why the others did not.
package cwburn

import "time"

// Reason says why a request burnt error budget. The zero value means that it did
// not.
type Reason string

const (
	// None means that the request met its targets.
	None Reason = ""
	// Slow means that the first byte came after its target.
	Slow Reason = "slow"
	// Overload means that the request was refused for lack of capacity.
	Overload Reason = "overload"
	// Route means that no permitted place was reachable.
	Route Reason = "route"
	// Failed means that an endpoint or peer failed.
	Failed Reason = "failed"
	// Truncated means that the answer broke off.
	Truncated Reason = "truncated"
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
	// Away is set if another region served it.
	Away bool
}
