package cwserver

import (
	"io"
	"sync/atomic"
)

// trackedBody is a request's body that records whether it was read to its end. A transport may
// still read it when the handler returns.
type trackedBody struct {
	io.ReadCloser
	hasEnded atomic.Bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.hasEnded.Store(true)
	}
	return n, err
}
