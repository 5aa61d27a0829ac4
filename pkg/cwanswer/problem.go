package cwanswer

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// ContentType is the media type of a Problem (RFC 9457).
const ContentType = "application/problem+json"

// Problem is a refusal or a failure. It is the body of the response to the caller, and also
// an error, so that functions of the gateway can return it.
type Problem struct {
	// Type identifies the kind of problem by a relative URI reference, such as
	// "problems/no-account".
	Type string `json:"type"`
	// Title is a short summary of the kind of problem.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains this occurrence of the problem.
	Detail string `json:"detail,omitempty"`
	// Outcome is what is known about whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds is the time after which to try again, in seconds; 0 if unknown.
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
	// Instances are other instances that the caller may try.
	Instances []Instance `json:"instances,omitempty"`
	// Location is the URL to which the same request may be sent instead. It is sent in the
	// header field of that name.
	Location string `json:"-"`
	// Ticket is a new ticket for a request that lacked a required one.
	Ticket string `json:"ticket,omitempty"`
	// RequestID is the identifier with which the request is logged.
	RequestID string `json:"requestId,omitempty"`
	// Step is the step of the processing at which the problem arose, such as "forward".
	Step string `json:"step,omitempty"`
	// Peer is the instance, endpoint, pool or domain at which the problem arose.
	Peer string `json:"peer,omitempty"`
}

// NewProblem returns a problem. Its type is built from kind, a short identifier such as
// "no-account", and its title from the HTTP status.
func NewProblem(status int, kind string, outcome Outcome, detail string) *Problem {
	return &Problem{
		Type:    "problems/" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// Error describes the problem with its step and peer.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: step %q, peer %q: %s (%d, outcome %s)", p.Type, p.Step, p.Peer, p.Detail, p.Status, p.Outcome)
}

// WithOrigin sets the step and peer at which the problem arose, and returns the problem.
func (p *Problem) WithOrigin(step, peer string) *Problem {
	p.Step = step
	p.Peer = peer
	return p
}

// WithRetryAfterSeconds sets the time, in seconds, after which to try again, and returns the
// problem.
func (p *Problem) WithRetryAfterSeconds(seconds float64) *Problem {
	p.RetryAfterSeconds = seconds
	return p
}

// Write sends the problem as the complete response to a request. The Retry-After field is
// rounded up to whole seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", ContentType)
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfterSeconds))))
	}
	if p.Location != "" {
		h.Set("Location", p.Location)
	}
	w.WriteHeader(p.Status)
	// A write fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(p)
}
