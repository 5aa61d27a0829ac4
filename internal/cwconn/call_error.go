package cwconn

import "fmt"

// CallError is the error of a failed call, with the step at which it failed.
type CallError struct {
	// Step is the step that failed, and Peer the address of the call.
	Step, Peer string
	// Sent is set if a byte of the request may have been sent.
	Sent bool
	// Reused is set if the connection served an earlier request.
	Reused bool
	// Pending is the call if its response may still be awaited; nil otherwise.
	Pending *Pending
	// Err is the cause.
	Err error
}

// Error returns the step, the peer and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}
