package cwstandin

import (
	"net/http"
	"time"
)

// WorkerRun is a request that the worker ran.
type WorkerRun struct {
	// RequestID is the request's identifier, and Header holds all its fields.
	RequestID string
	Header    http.Header
	// Method, Path and Body are those of the request. Path includes the query.
	Method, Path, Body string
	// ReceivedAt is the time at which the worker received the request.
	ReceivedAt time.Time
}
