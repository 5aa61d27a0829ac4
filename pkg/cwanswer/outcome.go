// Package cwanswer defines what the gateway sends to callers besides the responses of
// services: problems, outcomes, headers, instance lists and tickets.
package cwanswer

// Outcome states whether a request is known to have run at an endpoint.
type Outcome string

const (
	// NotRun means that the request did not run: on every attempt, either no byte of
	// it left the gateway, or the receiver confirmed that it had not started it.
	NotRun Outcome = "notRun"
	// Ran means that the endpoint responded to the request.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Merge combines the outcomes of two attempts of one request. Ran takes precedence over
// Unknown, and Unknown over NotRun, so that a later refusal never hides an earlier
// attempt that may have run.
func (o Outcome) Merge(other Outcome) Outcome {
	if o == Ran || other == Ran {
		return Ran
	}
	if o == NotRun && other == NotRun {
		return NotRun
	}
	return Unknown
}
