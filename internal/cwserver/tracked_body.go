package cwserver

import (
	"io"
	"net/http"
	"sync/atomic"
)

// trackedBody is a request's body that records whether it was read to its end. A transport may
// still read it when the handler returns.
type trackedBody struct {
	io.ReadCloser
	// request is the request of the body; nil if unknown.
	request  *http.Request
	hasEnded atomic.Bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if b.request != nil {
			// Nothing uses the trailer, and it would take memory until the request has ended.
			b.request.Trailer = nil
		}
		b.hasEnded.Store(true)
	}
	return n, err
}
