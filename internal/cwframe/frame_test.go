package cwframe_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwframe"
)

// encodeStream returns a complete stream with the body.
func encodeStream(body []byte) []byte {
	var buf bytes.Buffer
	w := cwframe.NewWriter(&buf)
	_ = w.WriteMessage(cwframe.Head, struct{}{})
	_, _ = w.Write(body)
	_ = w.Close("ran")
	return buf.Bytes()
}

// readStream returns the body and the outcome of a stream.
func readStream(data []byte) ([]byte, string, error) {
	r := cwframe.NewReader(bytes.NewReader(data))
	body, err := io.ReadAll(r)
	return body, r.Outcome(), err
}

// TestReaderDetectsTruncatedStreams guards against a truncated stream that is taken for a
// complete one, wherever it is cut off.
func TestReaderDetectsTruncatedStreams(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789"), 20_000)
	encoded := encodeStream(body)
	got, outcome, err := readStream(encoded)
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
	is.Equal(outcome, "ran")
	for _, cut := range []int{0, 1, 8, 9, 10, len(encoded) / 2, len(encoded) - 1} {
		_, _, err := readStream(encoded[:cut])
		is.True(errors.Is(err, cwframe.ErrTruncated)) // never a clean end of file
	}
}

// TestReaderRejectsMixedStreams guards against a body that is made up of parts of two
// streams, and against a frame out of sequence.
func TestReaderRejectsMixedStreams(t *testing.T) {
	is := is.New(t)
	a := encodeStream([]byte("first"))
	b := encodeStream([]byte("second answer"))
	// The first half of one stream is followed by the second half of another.
	mixed := append(append([]byte{}, a[:len(a)/2]...), b[len(b)/2:]...)
	_, _, err := readStream(mixed)
	is.True(err != nil)
	a[4]++ // last byte of the sequence number of the first frame
	_, _, err = readStream(a)
	is.True(err != nil)
}

// FuzzReader guards against a panic of the reader, and against a body that is longer than
// its encoded stream.
func FuzzReader(f *testing.F) {
	f.Add(encodeStream([]byte("body")))
	f.Add([]byte{1, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		body, _, err := readStream(data)
		if err == nil && len(body) > len(data) {
			t.Fatal("decoded body is longer than the encoded stream")
		}
	})
}

// repeatingReader returns frames without an end, with the next sequence number each.
type repeatingReader struct {
	kind    cwframe.Kind
	payload int
	seq     uint32
	pending []byte
	read    int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		r.pending = binary.BigEndian.AppendUint32([]byte{byte(r.kind)}, r.seq)
		r.pending = binary.BigEndian.AppendUint32(r.pending, uint32(r.payload))
		r.pending = append(r.pending, make([]byte, r.payload)...)
		r.seq++
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	r.read += n
	return n, nil
}

// TestReaderLimitsFramesWithoutBody guards against a stream that never ends and has no body:
// frames of unknown kinds are skipped, and empty ones add nothing, so that only the time of
// the request ended it.
func TestReaderLimitsFramesWithoutBody(t *testing.T) {
	const maxBytes = 4 * cwframe.MaxPayloadBytes
	for _, c := range []struct {
		name    string
		kind    cwframe.Kind
		payload int
	}{
		{"unknown kind", 99, 1000},
		{"unknown kind, largest payload", 99, cwframe.MaxPayloadBytes},
		{"unknown kind, empty", 99, 0},
		{"heads", cwframe.Head, 1000},
		{"empty data", cwframe.Data, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			frames := &repeatingReader{kind: c.kind, payload: c.payload}
			r := cwframe.NewReader(io.LimitReader(frames, 100*maxBytes))
			_, err := r.Read(make([]byte, 1))
			is.True(errors.Is(err, cwframe.ErrNoProgress))
			is.True(frames.read <= maxBytes)
		})
	}
}
