package cwgate

import (
	"net/http"
	"time"
)

// Codec knows the fields of requests and answers on the wire. The adapter of the
// platform has one.
type Codec interface {
	// Head returns the request line and the fields of an attempt.
	Head(r *Request, a *Attempt) []byte
	// Read returns what the head of an answer says.
	Read(resp *http.Response) AnswerHead
	// Owns reports whether the head of an answer belongs to the request.
	Owns(r *Request, status int, field func(name string) string) bool
}

// Attempt is one try of a request at an endpoint or another instance.
type Attempt struct {
	// Endpoint is the identifier of the endpoint that must be the one to run the
	// request; empty at another instance.
	Endpoint string
	// Left is the time until the answer must be whole.
	Left time.Duration
	// Rank orders requests at an engine, from 0 for the most urgent to 9.
	Rank int
	// AfterEvent is the event behind which a stream goes on; empty for the start.
	AfterEvent string
	// Length is the length of the body.
	Length int
	// Relayed is set for another instance, with the time spent so far.
	Relayed bool
	Elapsed time.Duration
}

// AnswerHead is what an answer says of itself.
type AnswerHead struct {
	// Signed is set if an endpoint made the answer.
	Signed bool
	// NotRun is set if the request has not run and won't.
	NotRun bool
	// Encoded is set if the body is not the endpoint's plain body.
	Encoded bool
}
