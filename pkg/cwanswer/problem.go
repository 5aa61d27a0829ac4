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

// Problem is a refusal or a failure. It is an error, so that it can travel
// through the code that decides as well as to the caller.
type Problem struct {
	// Type identifies the kind of problem by a relative reference.
	Type string `json:"type"`
	// Title is a short summary of the kind of problem.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains this occurrence.
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfterSeconds says when to come back; zero means that no time is known.
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
	// Instances are other instances that the caller may try.
	Instances []Instance `json:"instances,omitempty"`
	// Location is where the same request may be sent instead; it becomes the
	// header of that name.
	Location string `json:"-"`
	// Ticket is a fresh ticket, where one was missing.
	Ticket string `json:"ticket,omitempty"`
	// RequestID is the identifier under which the request is logged.
	RequestID string `json:"requestId,omitempty"`
	// Step names the step at which the problem arose.
	Step string `json:"step,omitempty"`
	// Peer names the instance or endpoint at which the problem arose.
	Peer string `json:"peer,omitempty"`
}

// NewProblem returns a problem whose type is a short identifier such as "no-account".
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

// WithOrigin returns the problem with the step and peer at which it arose.
func (p *Problem) WithOrigin(step, peer string) *Problem {
	p.Step = step
	p.Peer = peer
	return p
}

// WithRetryAfterSeconds returns the problem with the time, in seconds, after which to try again.
func (p *Problem) WithRetryAfterSeconds(seconds float64) *Problem {
	p.RetryAfterSeconds = seconds
	return p
}

// Write sends the problem as the whole answer to a request.
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
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(p)
}
