package cwconn

import "fmt"

// CallError says how far a call came before it failed.
type CallError struct {
	// Step is what failed, and Peer where.
	Step, Peer string
	// Sent is set if a byte of the request may have left.
	Sent bool
	// Reused is set if the connection had served another request before.
	Reused bool
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
