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

// Problem is a refusal or failure of a request as the caller receives it (RFC 9457). It
// implements error, so that functions can return it as their error.
type Problem struct {
	// Type is a relative URI reference that identifies the kind of problem.
	Type string `json:"type"`
	// Title is a short summary of the kind of problem.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains this occurrence of the problem.
	Detail string `json:"detail,omitempty"`
	// Outcome states whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds is the time to wait before a retry, in seconds; 0 means that
	// no time is known.
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
	// Instances are other instances that the caller may try.
	Instances []Instance `json:"instances,omitempty"`
	// Location is the URL to which the same request may be sent instead. It is sent as
	// the Location header, not in the body.
	Location string `json:"-"`
	// Ticket is a new ticket for the request, if the request needs one and carried
	// none.
	Ticket string `json:"ticket,omitempty"`
	// RequestID is the identifier of the request in the logs.
	RequestID string `json:"requestId,omitempty"`
	// Step names the step at which the problem arose.
	Step string `json:"step,omitempty"`
	// Peer names the instance or endpoint at which the problem arose.
	Peer string `json:"peer,omitempty"`
}

// NewProblem returns a problem with the HTTP status code and a kind, which is a short
// identifier such as "no-account".
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

// WithOrigin sets the step and peer at which the problem arose, and returns p.
func (p *Problem) WithOrigin(step, peer string) *Problem {
	p.Step = step
	p.Peer = peer
	return p
}

// WithRetryAfterSeconds sets the time to wait before a retry, in seconds, and returns p.
func (p *Problem) WithRetryAfterSeconds(seconds float64) *Problem {
	p.RetryAfterSeconds = seconds
	return p
}

// Write writes the problem as the complete response to a request. The Retry-After header
// is rounded up to whole seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", ContentType)
	header.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfterSeconds))))
	}
	if p.Location != "" {
		header.Set("Location", p.Location)
	}
	w.WriteHeader(p.Status)
	// Encoding fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(p)
}
