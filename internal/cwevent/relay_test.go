package cwevent_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwevent"
)

// TestRelayReaderDetectsMissingChunks guards against a relayed stream that counts as
// complete although a chunk of it is missing or repeated.
func TestRelayReaderDetectsMissingChunks(t *testing.T) {
	var w cwevent.RelayWriter
	chunks := [][]byte{
		w.EncodeChunk([]byte("id: 1\ndata: a\n\n")),
		w.EncodeChunk([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")),
		w.EncodeChunk([]byte("id: 4\ndata: d\n\n")),
		w.EncodeEnd(),
	}
	for _, c := range []struct {
		name   string
		order  []int
		hasGap bool
		ended  bool
	}{
		{"all chunks in order", []int{0, 1, 2, 3}, false, true},
		{"no end marker", []int{0, 1, 2}, false, false},
		{"a chunk is missing", []int{0, 2, 3}, true, false},
		{"the last chunk is missing", []int{0, 1, 3}, true, false},
		{"a chunk is repeated", []int{0, 1, 1}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r cwevent.RelayReader
			got, hasGap := "", false
			for _, i := range c.order {
				events, err := r.StripMarkers(chunks[i])
				hasGap = hasGap || errors.Is(err, cwevent.ErrMissingChunk)
				got += string(events)
			}
			is.Equal(hasGap, c.hasGap)
			is.Equal(r.HasEnded(), c.ended)
			if c.ended {
				is.Equal(got, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n")
			}
		})
	}
}
