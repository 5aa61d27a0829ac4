// Package cwanswer defines the refusals and failures that callers receive.
package cwanswer

// Outcome says what is known about whether a request ran at an endpoint.
type Outcome string

const (
	// NotRun means that no byte of the request left the gateway on any attempt,
	// or that the receiver proved that it had not started the request.
	NotRun Outcome = "notRun"
	// Ran means that the endpoint answered the request.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Merge combines what two attempts of one request tell. Ran wins over Unknown,
// and Unknown wins over NotRun, so a later refusal never hides an earlier attempt.
func (o Outcome) Merge(other Outcome) Outcome {
	if o == Ran || other == Ran {
		return Ran
	}
	if o == NotRun && other == NotRun {
		return NotRun
	}
	return Unknown
}
