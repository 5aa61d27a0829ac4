package cwdispatch

import (
	"net/http"
	"sync/atomic"
)

// Sink takes the answer to a request.
type Sink interface {
	// Start sends status and header; it is called at most once.
	Start(status int, header http.Header, served *Served) error
	// Write sends a part of the body.
	Write(p []byte) (int, error)
	// Flush sends what is buffered.
	Flush()
}

// delivery remembers whether anything reached the caller.
type delivery struct {
	Sink
	// started is also read by the probe of a silent attempt.
	started atomic.Bool
}

func (d *delivery) Start(status int, header http.Header, served *Served) error {
	d.started.Store(true)
	return d.Sink.Start(status, header, served)
}
