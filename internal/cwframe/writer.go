package cwframe

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// Writer writes one stream.
type Writer struct {
	w      io.Writer
	seq    uint32
	frames uint32
	bytes  int64
	buf    []byte
}

// NewWriter returns a writer of a stream to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: w}
}

// WriteMessage writes a frame whose payload is the JSON form of v.
func (w *Writer) WriteMessage(kind Kind, v any) error {
	payload, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame %d: %w", kind, err)
	}
	return w.write(kind, payload)
}

// Write writes p as Data frames.
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

// Close writes the End frame. It does not close the underlying writer.
func (w *Writer) Close(outcome string) error {
	return w.WriteMessage(End, Trailer{Frames: w.frames, Bytes: w.bytes, Outcome: outcome})
}

// write sends a frame in one call, so that a small frame is one packet.
func (w *Writer) write(kind Kind, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return fmt.Errorf("write frame %d: payload of %d bytes, at most %d", kind, len(payload), MaxPayloadBytes)
	}
	w.buf = append(w.buf[:0], byte(kind))
	w.buf = binary.BigEndian.AppendUint32(w.buf, w.seq)
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(len(payload)))
	w.buf = append(w.buf, payload...)
	w.seq++
	_, err := w.w.Write(w.buf)
	return err
}
