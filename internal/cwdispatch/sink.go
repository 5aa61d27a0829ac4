package cwdispatch

import (
	"net/http"
	"sync/atomic"
)

// Sink takes the answer to a request.
type Sink interface {
	// Start sends status and header; it is called at most once.
	Start(status int, header http.Header, served *ServeResult) error
	// Write sends a part of the body.
	Write(p []byte) (int, error)
	// Flush sends what is buffered.
	Flush()
}

// trackingSink remembers whether anything reached the caller.
type trackingSink struct {
	Sink
	// hasStarted is also read by the probe of a silent attempt.
	hasStarted atomic.Bool
}

func (d *trackingSink) Start(status int, header http.Header, served *ServeResult) error {
	d.hasStarted.Store(true)
	return d.Sink.Start(status, header, served)
}
