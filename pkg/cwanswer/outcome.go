// Package cwanswer defines the gateway's own part of the responses to callers: problems,
// outcomes, header fields, lists of instances and tickets.
package cwanswer

// Outcome is what the gateway can state about whether a request ran at an endpoint.
type Outcome string

const (
	// NotRun means that the request did not run: on each attempt, no byte of it was sent, or
	// the receiver stated that it had not started it.
	NotRun Outcome = "notRun"
	// Ran means that an endpoint responded to the request.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Merge returns the outcome of a request from those of two attempts. Ran takes precedence
// over Unknown, and Unknown over NotRun, so that a later refusal does not hide an earlier
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
