package cwgate

import (
	"net/http"
	"time"
)

// Codec knows the fields of requests and answers on the wire. The adapter of the
// platform has one.
type Codec interface {
	// EncodeHead returns the request line and the fields of an attempt.
	EncodeHead(r *Request, a *AttemptParams) []byte
	// DecodeHead returns what the head of an answer says.
	DecodeHead(resp *http.Response) ResponseHead
	// MatchesResponse reports whether the head of an answer belongs to the request.
	MatchesResponse(r *Request, status int, field func(name string) string) bool
}

// AttemptParams is one try of a request at an endpoint or another instance.
type AttemptParams struct {
	// Endpoint is the identifier of the endpoint that must be the one to run the
	// request; empty at another instance.
	Endpoint string
	// Timeout is the time until the answer must be whole.
	Timeout time.Duration
	// EnginePriority orders requests at an engine, from 0 for the most urgent to 9.
	EnginePriority int
	// LastEventID is the event behind which a stream goes on; empty for the start.
	LastEventID string
	// ContentLength is the length of the body.
	ContentLength int
	// Relayed is set for another instance, with the time spent so far.
	Relayed bool
	Elapsed time.Duration
}

// ResponseHead is what an answer says of itself.
type ResponseHead struct {
	// Signed is set if an endpoint made the answer.
	Signed bool
	// NotRun is set if the request has not run and won't.
	NotRun bool
	// Encoded is set if the body is not the endpoint's plain body.
	Encoded bool
}
