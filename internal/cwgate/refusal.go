package cwgate

import (
	"net/http"
	"strconv"
	"time"
)

// Refusal is an answer of the gateway's own.
type Refusal struct {
	// Status is the HTTP status. 429 and 503 say that the request has not run.
	Status int
	// Reason names the cause, for the caller, logs and metrics.
	Reason string
	// RetryAfter is when to come back; 0 if that won't help.
	RetryAfter time.Duration
}

// newNotRunRefusal is the answer to a request that certainly has not run.
func newNotRunRefusal(reason string, after time.Duration) Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// write sends the refusal.
func (r Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := r.Reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	// The caller may be gone; the log line says what was answered.
	_, _ = w.Write([]byte(body))
}
