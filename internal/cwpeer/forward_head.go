package cwpeer

import (
	"net/http"
	"time"
)

// ForwardPath is the path of forwarded requests on the peer interface.
const ForwardPath = "/peer/v1/forward"

// ForwardHead is the first message of a forwarded request. Fields are only ever
// added; a receiver ignores those that it does not know.
type ForwardHead struct {
	// Version is the protocol version of the sender.
	Version int `json:"version"`
	// RequestID and AttemptID identify the request and this attempt.
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	// Service, Method, Path and Query are those of the caller's request.
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	// KeyHash is the hash of the caller's key.
	KeyHash string `json:"keyHash"`
	// Header holds the caller's header fields that travel on.
	Header http.Header `json:"header,omitempty"`
	// Length is the length of the body, -1 if unknown.
	Length int64 `json:"length"`
	// RemainingMillis is the time to the deadline; clocks differ between instances.
	RemainingMillis int64 `json:"leftMillis"`
	// Hop is the forwarding budget after this hop.
	Hop string `json:"hop"`
	// Region is where the caller's request arrived.
	Region string `json:"region"`
	// ByChoice is set if the request could have been served where it arrived.
	ByChoice bool `json:"byChoice,omitempty"`
	// Ticket is the ticket of a request that must not be repeated.
	Ticket string `json:"ticket,omitempty"`
	// Dispatchable is set if the sender owns the ticket and has recorded its use.
	Dispatchable bool `json:"dispatchable,omitempty"`
	// TicketRemainingMillis is the time to the ticket's expiry.
	TicketRemainingMillis int64 `json:"ticketLeftMillis,omitempty"`
}

// Remaining returns the time to the deadline.
func (h *ForwardHead) Remaining() time.Duration {
	return time.Duration(h.RemainingMillis) * time.Millisecond
}

// ResponseHead is the first message of a forwarded answer.
type ResponseHead struct {
	// AttemptID is that of the request; an answer to another attempt is refused.
	AttemptID string `json:"attemptId"`
	// Status and Header are those of the endpoint's answer.
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	// Instance, Endpoint and Region say who served the request.
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint"`
	Region   string `json:"region"`
}
