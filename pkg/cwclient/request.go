// Package cwclient is the caller's side of the gateway: it asks which instances
// to use, fetches tickets, and tries again only where an answer allows it.
package cwclient

import "time"

// Request is one request of a caller.
type Request struct {
	// Service is the service to call.
	Service string
	// Method and Path are those of the service; Path begins with a slash.
	Method, Path string
	// Body is the whole body; it may be empty.
	Body []byte
	// ContentType describes the body; empty means JSON.
	ContentType string
	// Timeout is the deadline; 0 leaves it to the service.
	Timeout time.Duration
	// Ticket is a ticket from an earlier try of the same request; it may be empty.
	Ticket string
}
