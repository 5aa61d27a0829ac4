package cwlimit

import "fmt"

// Error is the error of a response that exceeds a limit. Such a response is incomplete, and
// its connection can't be used again.
type Error struct {
	// Step is the step that failed, and Peer the address of the response's sender.
	Step, Peer string
	// LimitBytes is the limit that was exceeded.
	LimitBytes int64
	// IsShared is set if all responses in memory together exceed the limit, not this one
	// alone.
	IsShared bool
}

// Error returns the step, the peer and the limit.
func (e *Error) Error() string {
	if e.IsShared {
		return fmt.Sprintf("%s of %s: responses in memory exceed the limit of %d bytes", e.Step, e.Peer, e.LimitBytes)
	}
	return fmt.Sprintf("%s of %s: exceeds the limit of %d bytes", e.Step, e.Peer, e.LimitBytes)
}
