package cwframe_test

import (
	"bytes"
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
