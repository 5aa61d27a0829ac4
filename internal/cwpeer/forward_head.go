package cwpeer

import (
	"net/http"
	"time"
)

// ForwardPath is the path of forwarded requests on the peer interface.
const ForwardPath = "/peer/v1/forward"

// ForwardHead is the first message of a forwarded request. Later versions may only
// add fields; receivers ignore unknown ones.
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
	// Header holds the caller's header fields to forward.
	Header http.Header `json:"header,omitempty"`
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64 `json:"length"`
	// RemainingMillis is the time to the deadline. It is relative because clocks differ
	// between instances.
	RemainingMillis int64 `json:"leftMillis"`
	// HopBudget is the forwarding budget that remains after this hop.
	HopBudget string `json:"hop"`
	// ArrivalRegion is that of the instance that received the caller's request.
	ArrivalRegion string `json:"region"`
	// IsSpillover is set if the sender's region may serve the request too. A receiver without
	// free capacity for other domains then refuses it.
	IsSpillover bool `json:"byChoice,omitempty"`
	// Ticket is the ticket of a request that must not run twice.
	Ticket string `json:"ticket,omitempty"`
	// SenderOwnsTicket is set if the sender owns the ticket and has recorded its use.
	SenderOwnsTicket bool `json:"dispatchable,omitempty"`
	// TicketRemainingMillis is the time until the ticket expires. It is set if
	// SenderOwnsTicket is.
	TicketRemainingMillis int64 `json:"ticketLeftMillis,omitempty"`
}

// Remaining returns the time to the deadline.
func (h *ForwardHead) Remaining() time.Duration {
	return time.Duration(h.RemainingMillis) * time.Millisecond
}

// ResponseHead is the first message of the response to a forwarded request.
type ResponseHead struct {
	// AttemptID is that of the request. The receiver rejects a response to another attempt.
	AttemptID string `json:"attemptId"`
	// Status and Header are those of the endpoint's response.
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	// Instance, Endpoint and Region identify what served the request.
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint"`
	Region   string `json:"region"`
}
