package cwlimit

import (
	"fmt"
	"net/http"
)

// StatusError is the error of a response whose status ends no request: it is not one of HTTP's, or that of
// an interim response where a final one is due.
type StatusError struct {
	// Peer is the address of the response's sender, and Status its status.
	Peer   string
	Status int
}

// Error returns the peer and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("read response of %s: status %03d is not that of a final response", e.Peer, e.Status)
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// CheckStatus returns a *StatusError unless the status is that of a final response, 200 to 599.
func CheckStatus(peer string, status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &StatusError{Peer: peer, Status: status}
	}
	return nil
}
