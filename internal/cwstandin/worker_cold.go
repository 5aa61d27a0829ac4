package cwstandin

import (
	"net/http"
	"strconv"
	"time"
)

// HealthPath is the path of a worker's health check.
const HealthPath = "/health"

// coldness is for how long a worker is cold, and what its health check was asked.
type coldness struct {
	coldUntil time.Time
	checkedAt []time.Time
}

// BecomeCold makes the worker cold for a time from now on. Its health check states that; its
// process goes on, and its entry stays as it is.
func (w *Worker) BecomeCold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// HealthChecks returns the times at which the worker received health checks.
func (w *Worker) HealthChecks() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.checkedAt...)
}

func (w *Worker) serveHealth(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkedAt = append(w.checkedAt, time.Now())
	rw.Header().Set("Clementinewell-Instance-Id", w.ID)
	rw.Header().Set("Clementinewell-Cold-Ms", strconv.FormatInt(max(time.Until(w.coldUntil), 0).Milliseconds(), 10))
	rw.WriteHeader(http.StatusOK)
}
