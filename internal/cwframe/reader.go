package cwframe

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrTruncated is returned if a stream ends without its End frame.
var ErrTruncated = errors.New("stream ended before its end frame")

// ErrNoProgress is returned for a stream with too many frames that are not part of the body.
var ErrNoProgress = errors.New("stream has too many frames without body")

// maxOtherBytes is the limit for all frames that are not part of the body together: the head,
// empty frames and those of unknown kinds.
const maxOtherBytes = 2 * MaxPayloadBytes

// Reader decodes one stream of frames.
type Reader struct {
	r *bufio.Reader
	// seq is the sequence number of the next frame.
	seq uint32
	// frames and bytes count the Data frames and their payload bytes.
	frames uint32
	bytes  int64
	// otherBytes counts the bytes of frames that are not part of the body.
	otherBytes int
	// buf holds the payload of the latest frame, and pending the part of it that Read has
	// not returned.
	buf     []byte
	pending []byte
	// trailer is that of the End frame; nil before it is read.
	trailer *Trailer
}

// Frame is one decoded frame. Payload is valid until the next read.
type Frame struct {
	// Kind determines the meaning of Payload.
	Kind Kind
	// Payload is the content of the frame, without its header.
	Payload []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, headerBytes+4096)}
}

// Next returns the next frame. After an End frame with matching counts it returns
// io.EOF. It returns ErrTruncated if the stream ends before that, and another error for a
// frame that is too long or out of sequence, or an End frame with other counts.
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
		return f, fmt.Errorf("read frame: got sequence number %d, want %d", seq, r.seq)
	}
	if size > MaxPayloadBytes {
		return f, fmt.Errorf("read frame: payload of %d bytes exceeds the limit of %d bytes", size, MaxPayloadBytes)
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

// updateCounts counts Data frames and their bytes, and checks the counts in the End
// frame.
func (r *Reader) updateCounts(f Frame) error {
	if f.Kind != Data || len(f.Payload) == 0 {
		if r.otherBytes += headerBytes + len(f.Payload); r.otherBytes > maxOtherBytes {
			return fmt.Errorf("read frame of kind %d: %w", f.Kind, ErrNoProgress)
		}
	}
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
			return fmt.Errorf("read end frame: got %d frames and %d bytes, sender counted %d frames and %d bytes", r.frames, r.bytes, t.Frames, t.Bytes)
		}
		r.trailer = t
	}
	return nil
}

// asTruncated replaces an end-of-file error by ErrTruncated.
func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// ReadMessage reads a frame of the given kind, decodes its JSON payload into v and
// returns the payload. JSON fields that v does not have are ignored.
func (r *Reader) ReadMessage(kind Kind, v any) ([]byte, error) {
	f, err := r.Next()
	if err != nil {
		return nil, err
	}
	if f.Kind != kind {
		return nil, fmt.Errorf("read frame: got kind %d, want %d", f.Kind, kind)
	}
	if err := json.Unmarshal(f.Payload, v); err != nil {
		return nil, fmt.Errorf("decode frame of kind %d: %w", kind, err)
	}
	return f.Payload, nil
}

// Read reads the payloads of the Data frames. It returns io.EOF only at the end of a
// complete stream.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		f, err := r.Next()
		if err != nil {
			return 0, err
		}
		if f.Kind == Failure {
			return 0, fmt.Errorf("read stream: sender reported a failure: %.200s", f.Payload)
		}
		if f.Kind == Data {
			r.pending = f.Payload
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// HasBufferedData reports whether received data is buffered and not read yet.
func (r *Reader) HasBufferedData() bool {
	return r.r.Buffered() > 0
}

// Outcome returns the outcome in the End frame, or an empty string before that frame is
// read.
func (r *Reader) Outcome() string {
	if r.trailer == nil {
		return ""
	}
	return r.trailer.Outcome
}
