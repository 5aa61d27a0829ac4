package cwdispatch

import (
	"net/http"
	"sync/atomic"
)

// Sink receives the response to a request.
type Sink interface {
	// Start sends status and header. It is called at most once.
	Start(status int, header http.Header, result *ServeResult) error
	// Write sends a part of the body.
	Write(p []byte) (int, error)
	// Flush sends buffered data.
	Flush()
}

// trackingSink records whether the response was started.
type trackingSink struct {
	Sink
	// hasStarted is atomic because handleStall reads it in another goroutine.
	hasStarted atomic.Bool
}

// Start implements Sink. The response counts as started even if Start fails, since a
// part of it may have been sent.
func (t *trackingSink) Start(status int, header http.Header, result *ServeResult) error {
	t.hasStarted.Store(true)
	return t.Sink.Start(status, header, result)
}
