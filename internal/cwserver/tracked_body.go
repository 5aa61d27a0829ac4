package cwserver

import "io"

// trackedBody is a request's body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	hasEnded bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.hasEnded = b.hasEnded || err == io.EOF
	return n, err
}
