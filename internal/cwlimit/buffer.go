package cwlimit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
)

const (
	// minChunkBytes and maxChunkBytes bound the chunks of a buffer. A body of unknown length
	// begins with defaultChunkBytes; each further chunk doubles the size of the buffer.
	minChunkBytes     = 512
	defaultChunkBytes = 4 << 10
	maxChunkBytes     = 256 << 10
)

// Buffer is a body in memory. Its chunks are never copied to grow, so that it takes no more
// memory than it has reserved.
type Buffer struct {
	chunks      [][]byte
	length      int64
	reservation *Reservation
}

// ReadAll reads the body of a response from peer, which announced its length in bytes, -1 if
// unknown. Memory is taken as the bytes arrive. The error wraps an *Error if the body is
// larger than maxBytes or does not fit into the budget. The caller must release the buffer.
func (b *Budget) ReadAll(r io.Reader, peer string, length, maxBytes int64) (*Buffer, error) {
	if length > maxBytes {
		return nil, &Error{Step: "buffer response", Peer: peer, LimitBytes: maxBytes}
	}
	buffer := &Buffer{reservation: b.NewReservation()}
	if err := buffer.readFrom(io.LimitReader(r, maxBytes+1), length); err != nil {
		buffer.Release()
		if errors.Is(err, errNoMemory) {
			return nil, buffer.reservation.Error("buffer response", peer)
		}
		return nil, fmt.Errorf("read response from %s: %w", peer, err)
	}
	if buffer.length > maxBytes {
		buffer.Release()
		return nil, &Error{Step: "buffer response", Peer: peer, LimitBytes: maxBytes}
	}
	return buffer, nil
}

var errNoMemory = errors.New("budget of responses in memory is used up")

func (b *Buffer) readFrom(r io.Reader, length int64) error {
	size := int64(defaultChunkBytes)
	if length >= 0 {
		size = min(max(length, minChunkBytes), smallBytes)
	}
	for {
		if !b.reservation.Grow(size) {
			return errNoMemory
		}
		chunk, err := fill(r, make([]byte, 0, size))
		b.chunks = append(b.chunks, chunk)
		b.length += int64(len(chunk))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		size = min(max(b.length, minChunkBytes), maxChunkBytes)
	}
}

// fill reads into the chunk until it is full or the reader fails. io.EOF means the end.
func fill(r io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// Len returns the length of the body in bytes.
func (b *Buffer) Len() int64 {
	return b.length
}

// WriteTo writes the whole body.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, chunk := range b.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// NewReader returns a reader of the whole body. It must not be used after Release.
func (b *Buffer) NewReader() io.Reader {
	readers := make([]io.Reader, 0, len(b.chunks))
	for _, chunk := range b.chunks {
		readers = append(readers, bytes.NewReader(chunk))
	}
	return io.MultiReader(readers...)
}

// Release returns the memory to the budget. Further calls do nothing.
func (b *Buffer) Release() {
	b.chunks, b.length = nil, 0
	b.reservation.Release()
}

// Replace replaces the body by what f returns for it, which must not be larger. The error is
// that of f, or an *Error if both don't fit into the budget.
func (b *Buffer) Replace(peer string, f func(body []byte) ([]byte, error)) error {
	if !b.reservation.Grow(2 * b.length) {
		return b.reservation.Error("buffer response", peer)
	}
	body, err := f(slices.Concat(b.chunks...))
	if err != nil {
		return err
	}
	b.chunks, b.length = [][]byte{body}, int64(len(body))
	b.reservation.Resize(int64(cap(body)))
	return nil
}
