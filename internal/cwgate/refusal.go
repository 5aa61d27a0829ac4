package cwgate

import (
	"net/http"
	"strconv"
	"time"
)

// Refusal is a response that the gateway itself creates.
type Refusal struct {
	// Status is the HTTP status. Only with 502 and 504 may the request have been run.
	Status int
	// Reason is the cause, as stated to the caller, in the log and in metrics.
	Reason string
	// RetryAfter is the delay after which the caller may retry; 0 if a retry does not
	// help.
	RetryAfter time.Duration
}

// newNotRunRefusal returns the refusal of a request that was certainly not run.
func newNotRunRefusal(reason string, retryAfter time.Duration) Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// dependsOnConfig reports whether the request might be accepted by a newer configuration.
func (r Refusal) dependsOnConfig() bool {
	return r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized || r.Reason == reasonConfigUncertain
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
	// The caller may have disconnected; the refusal is logged anyway.
	_, _ = w.Write([]byte(body))
}
