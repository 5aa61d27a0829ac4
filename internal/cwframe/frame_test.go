package cwframe_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwframe"
)

func stream(body []byte) []byte {
	var buf bytes.Buffer
	w := cwframe.NewWriter(&buf)
	_ = w.WriteMessage(cwframe.Head, struct{}{})
	_, _ = w.Write(body)
	_ = w.Close("ran")
	return buf.Bytes()
}

func read(data []byte) ([]byte, string, error) {
	r := cwframe.NewReader(bytes.NewReader(data))
	body, err := io.ReadAll(r)
	return body, r.Outcome(), err
}

func TestStreamIsWholeOrAnError(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789"), 20_000)
	whole := stream(body)
	got, outcome, err := read(whole)
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
	is.Equal(outcome, "ran")
	for _, cut := range []int{0, 1, 8, 9, 10, len(whole) / 2, len(whole) - 1} {
		_, _, err := read(whole[:cut])
		is.True(errors.Is(err, cwframe.ErrTruncated)) // never a clean end
	}
}

func TestCrossedFramesAreRefused(t *testing.T) {
	is := is.New(t)
	a := stream([]byte("first"))
	b := stream([]byte("second answer"))
	// The second half of another stream follows the first half of this one.
	crossed := append(append([]byte{}, a[:len(a)/2]...), b[len(b)/2:]...)
	_, _, err := read(crossed)
	is.True(err != nil)
	a[4]++ // the sequence number of the first frame
	_, _, err = read(a)
	is.True(err != nil)
}

func FuzzReader(f *testing.F) {
	f.Add(stream([]byte("body")))
	f.Add([]byte{1, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		body, _, err := read(data)
		if err == nil && len(body) > len(data) {
			t.Fatal("more came out than went in")
		}
	})
}
