package cwplacement

import "time"

// Verdict says what happens to a request.
type Verdict int

const (
	// Send sends it to the endpoint of the ticket.
	Send Verdict = iota
	// Relay passes it to an instance in the named domain.
	Relay
	// Refuse gives it back to the caller.
	Refuse
)

// Decision is a verdict with what it needs and what led to it.
type Decision struct {
	// Verdict says what happens.
	Verdict Verdict
	// Ticket is set for Send.
	Ticket *Ticket
	// Domain is set for Relay.
	Domain string
	// RetryAfter is set for Refuse: when there is likely to be room.
	RetryAfter time.Duration
	// Reason names why, for logs and metrics.
	Reason string
	// Local and Away are the predicted times to the first byte here and elsewhere;
	// negative if there is no place.
	Local, Away time.Duration
	// Rest is the predicted time from the first byte to the last, for Send.
	Rest time.Duration
}
