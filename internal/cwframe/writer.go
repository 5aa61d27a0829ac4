package cwframe

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// Writer encodes one stream of frames.
type Writer struct {
	w io.Writer
	// seq is the sequence number of the next frame.
	seq uint32
	// frames and bytes count the Data frames and their payload bytes.
	frames uint32
	bytes  int64
	// buf is reused for each frame.
	buf []byte
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: w}
}

// WriteMessage writes a frame with the JSON encoding of v as its payload.
func (w *Writer) WriteMessage(kind Kind, v any) error {
	payload, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame of kind %d: %w", kind, err)
	}
	return w.write(kind, payload)
}

// Write writes p as one or more Data frames.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), MaxPayloadBytes)
		if err := w.write(Data, p[:n]); err != nil {
			return written, err
		}
		w.frames++
		w.bytes += int64(n)
		written += n
		p = p[n:]
	}
	return written, nil
}

// Close writes the End frame with the outcome. It does not close the underlying writer.
func (w *Writer) Close(outcome string) error {
	return w.WriteMessage(End, Trailer{Frames: w.frames, Bytes: w.bytes, Outcome: outcome})
}

// write writes a frame in one call to the underlying writer, so that a small frame is
// sent in one packet.
func (w *Writer) write(kind Kind, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return fmt.Errorf("write frame of kind %d: payload of %d bytes exceeds the limit of %d bytes", kind, len(payload), MaxPayloadBytes)
	}
	w.buf = append(w.buf[:0], byte(kind))
	w.buf = binary.BigEndian.AppendUint32(w.buf, w.seq)
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(len(payload)))
	w.buf = append(w.buf, payload...)
	w.seq++
	_, err := w.w.Write(w.buf)
	return err
}
