package cwgate

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
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

// promisesNotRun reports whether an instance's own response with this status promises that the request has
// not run and will not. Callers rely on 408, 421, 429 and 503, and the instance that relayed the request
// also on the statuses 400 to 499 of an older configuration.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// isPromiseOfEndpoint reports whether callers take a failure that an endpoint created for the promise that
// the request has not run.
func isPromiseOfEndpoint(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeRefusal writes a refusal as the response to the request. It is the only place that does: a promise
// that an attempt may belie becomes status 502.
func (g *Gate) writeRefusal(r *Request, resp *responder, refusal Refusal) {
	if promisesNotRun(refusal.Status) && resp.sends.mayHaveRun() {
		g.metrics.unprovedRefusals.Inc(1)
		g.Log.Error("refusal would promise that a request has not run which may have", zap.String("request", r.ID),
			zap.String("reason", refusal.Reason), zap.Int("status", refusal.Status))
		refusal = Refusal{Status: http.StatusBadGateway, Reason: refusal.Reason}
	}
	resp.hasBegun, resp.status = true, refusal.Status
	refusal.write(resp.ResponseWriter)
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
