package cwplacement

import "time"

// Action says what happens to a request.
type Action int

const (
	// ActionSend sends it to the endpoint of the ticket.
	ActionSend Action = iota
	// ActionRelay passes it to an instance in the named domain.
	ActionRelay
	// ActionRefuse gives it back to the caller.
	ActionRefuse
)

// Decision is a verdict with what it needs and what led to it.
type Decision struct {
	// Action says what happens.
	Action Action
	// Placement is set for Send.
	Placement *Placement
	// Domain is set for Relay.
	Domain string
	// RetryAfter is set for Refuse: when there is likely to be room.
	RetryAfter time.Duration
	// Reason names why, for logs and metrics.
	Reason string
	// LocalFirstByte and Away are the predicted times to the first byte here and elsewhere;
	// negative if there is no place.
	LocalFirstByte, RemoteFirstByte time.Duration
	// RestOfResponse is the predicted time from the first byte to the last, for Send.
	RestOfResponse time.Duration
}
