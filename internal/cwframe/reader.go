package cwframe

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTruncated means that a stream ended without its End frame.
var ErrTruncated = errors.New("stream ended before its end frame")

// Reader reads one stream.
type Reader struct {
	r       *bufio.Reader
	seq     uint32
	frames  uint32
	bytes   int64
	buf     []byte
	pending []byte
	trailer *Trailer
}

// Frame is one frame as read. Payload is valid until the next read.
type Frame struct {
	// Kind tells what Payload is.
	Kind Kind
	// Payload is the content.
	Payload []byte
}

// NewReader returns a reader of the stream in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, headerBytes+4096)}
}

// Next returns the next frame. After an End frame whose counts are right it
// returns io.EOF; a stream that ends elsewhere gives ErrTruncated.
func (r *Reader) Next() (Frame, error) {
	if r.trailer != nil {
		return Frame{}, io.EOF
	}
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return Frame{}, asTruncated(err)
	}
	f := Frame{Kind: Kind(head[0])}
	seq := binary.BigEndian.Uint32(head[1:5])
	size := binary.BigEndian.Uint32(head[5:9])
	if seq != r.seq {
		return f, fmt.Errorf("read frame: sequence number %d, want %d", seq, r.seq)
	}
	if size > MaxPayloadBytes {
		return f, fmt.Errorf("read frame: payload of %d bytes, at most %d", size, MaxPayloadBytes)
	}
	if uint32(cap(r.buf)) < size {
		r.buf = make([]byte, size)
	}
	f.Payload = r.buf[:size]
	if _, err := io.ReadFull(r.r, f.Payload); err != nil {
		return f, asTruncated(err)
	}
	r.seq++
	return f, r.updateCounts(f)
}

// updateCounts follows the counts that the End frame must confirm.
func (r *Reader) updateCounts(f Frame) error {
	switch f.Kind {
	case Data:
		r.frames++
		r.bytes += int64(len(f.Payload))
	case End:
		t := &Trailer{}
		if err := json.Unmarshal(f.Payload, t); err != nil {
			return fmt.Errorf("read end frame: %w", err)
		}
		if t.Frames != r.frames || t.Bytes != r.bytes {
			return fmt.Errorf("read end frame: %d frames and %d bytes came, %d and %d were sent", r.frames, r.bytes, t.Frames, t.Bytes)
		}
		r.trailer = t
	}
	return nil
}

func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// ReadMessage reads a frame that must be of the kind, and decodes it. Fields
// that v does not have are ignored. The payload is returned as well.
func (r *Reader) ReadMessage(kind Kind, v any) ([]byte, error) {
	f, err := r.Next()
	if err != nil {
		return nil, err
	}
	if f.Kind != kind {
		return nil, fmt.Errorf("read frame: kind %d, want %d", f.Kind, kind)
	}
	if err := json.Unmarshal(f.Payload, v); err != nil {
		return nil, fmt.Errorf("read frame of kind %d: %w", kind, err)
	}
	return f.Payload, nil
}

// Read returns the bytes of the Data frames and io.EOF after a whole stream.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		f, err := r.Next()
		if err != nil {
			return 0, err
		}
		if f.Kind == Failure {
			return 0, fmt.Errorf("read stream: the sender gave up: %.200s", f.Payload)
		}
		if f.Kind == Data {
			r.pending = f.Payload
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// HasBufferedData reports whether more of the stream has come already.
func (r *Reader) HasBufferedData() bool {
	return r.r.Buffered() > 0
}

// Outcome returns the outcome in the End frame, once it was read.
func (r *Reader) Outcome() string {
	if r.trailer == nil {
		return ""
	}
	return r.trailer.Outcome
}
