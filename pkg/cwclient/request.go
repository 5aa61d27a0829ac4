// Package cwclient is a client of the gateway. It fetches the list of instances to use,
// handles tickets, and retries a request only if the retry can't run the request twice.
package cwclient

import "time"

// Request is one request of a caller.
type Request struct {
	// Service is the name of the service.
	Service string
	// Method and Path are the HTTP method and the path at the service. Path begins
	// with a slash.
	Method, Path string
	// Body is the complete request body; it may be empty.
	Body []byte
	// ContentType is the media type of the body; empty means application/json.
	ContentType string
	// Timeout limits the time for which the gateway works on the request; 0 means the
	// deadline of the service.
	Timeout time.Duration
	// Ticket is the ticket of an earlier attempt of the same request; it may be empty.
	Ticket string
}
