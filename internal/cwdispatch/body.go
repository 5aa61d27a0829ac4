// Package cwdispatch is the data path: it routes each request to an endpoint or
// to another instance, runs the attempts and tracks their outcome.
package cwdispatch

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxReplayBytes is the size of the part of a body that is buffered for the prefix
// hashes and for retries. A longer body is streamed and can be sent only once.
const MaxReplayBytes = 256 << 10

// ErrBodyConsumed is returned by Open if a streamed body was opened before.
var ErrBodyConsumed = errors.New("request body was streamed and cannot be sent again")

// Body is a request body of which at most MaxReplayBytes are buffered in memory.
type Body struct {
	prefix         []byte
	rest           io.Reader
	isRestConsumed bool
	length         int64
}

// ReadBody buffers the start of a body. The length is in bytes, -1 if unknown. It
// fails if r fails, or if a body with a length of up to MaxReplayBytes is truncated.
func ReadBody(r io.Reader, length int64) (*Body, error) {
	b := &Body{length: length}
	if r == nil || length == 0 {
		return b, nil
	}
	if length > 0 && length <= MaxReplayBytes {
		b.prefix = make([]byte, length)
		n, err := io.ReadFull(r, b.prefix)
		if err != nil {
			return nil, fmt.Errorf("read body: got %d of %d bytes: %w", n, length, err)
		}
		return b, nil
	}
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, r, MaxReplayBytes)
	b.prefix = buf.Bytes()
	if errors.Is(err, io.EOF) {
		b.length = n
		return b, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	b.rest = r
	return b, nil
}

// IsFullyBuffered reports whether the whole body is in memory.
func (b *Body) IsFullyBuffered() bool {
	return b.rest == nil
}

// Prefix returns the buffered part. The caller must not modify it.
func (b *Body) Prefix() []byte {
	return b.prefix
}

// Length returns the length in bytes, or -1 if unknown.
func (b *Body) Length() int64 {
	return b.length
}

// CanOpen reports whether Open can return the body once more.
func (b *Body) CanOpen() bool {
	return b.rest == nil || !b.isRestConsumed
}

// Open returns a reader of the whole body for one attempt. It returns
// ErrBodyConsumed if the body is streamed and was opened before.
func (b *Body) Open() (io.Reader, error) {
	if b.rest == nil {
		return bytes.NewReader(b.prefix), nil
	}
	if b.isRestConsumed {
		return nil, ErrBodyConsumed
	}
	b.isRestConsumed = true
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest), nil
}
