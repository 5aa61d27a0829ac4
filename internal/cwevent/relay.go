package cwevent

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMissingChunk means that a chunk of a relayed stream is missing. Bytes delayed by a
// network partition can be lost although later bytes arrive.
var ErrMissingChunk = errors.New("a chunk of the relayed stream is missing")

// chunkMarker and endMarker begin the markers of a relayed stream. These are comments of
// the server-sent events format: a chunk marker numbers each chunk, and the end marker
// states the number of chunks. The instance that receives the stream removes them before
// it reaches the caller.
const (
	chunkMarker = ":cw-piece "
	endMarker   = ":cw-end "
)

// RelayWriter numbers the chunks of a stream that is sent to another instance.
type RelayWriter struct {
	// chunks is the number of chunks so far.
	chunks int
}

// EncodeChunk returns whole events, preceded by the marker with the chunk's number.
func (w *RelayWriter) EncodeChunk(events []byte) []byte {
	chunk := make([]byte, 0, len(events)+len(chunkMarker)+8)
	chunk = fmt.Appendf(chunk, "%s%d\n", chunkMarker, w.chunks)
	w.chunks++
	return append(chunk, events...)
}

// EncodeEnd returns the marker that follows the last chunk.
func (w *RelayWriter) EncodeEnd() []byte {
	return fmt.Appendf(nil, "%s%d\n\n", endMarker, w.chunks)
}

// RelayReader removes the markers from a stream relayed by another instance, and detects
// missing chunks.
type RelayReader struct {
	chunks   int
	hasEnded bool
}

// StripMarkers returns whole events without their markers. The error wraps
// ErrMissingChunk if a marker has another number than expected.
func (r *RelayReader) StripMarkers(events []byte) ([]byte, error) {
	stripped := make([]byte, 0, len(events))
	skipBlank := false
	for line := range bytes.Lines(events) {
		if skipBlank && len(bytes.TrimRight(line, "\r\n")) == 0 {
			skipBlank = false
			continue
		}
		skipBlank = false
		if n, ok := parseMarker(line, chunkMarker); ok {
			if n != r.chunks {
				return nil, fmt.Errorf("%w: got chunk %d after chunk %d", ErrMissingChunk, n, r.chunks-1)
			}
			r.chunks++
			continue
		}
		if n, ok := parseMarker(line, endMarker); ok {
			if n != r.chunks {
				return nil, fmt.Errorf("%w: got %d of %d chunks", ErrMissingChunk, r.chunks, n)
			}
			r.hasEnded, skipBlank = true, true
			continue
		}
		stripped = append(stripped, line...)
	}
	return stripped, nil
}

// End checks the rest of a stream. The error wraps ErrMissingChunk if the end marker was not read.
func (r *RelayReader) End(rest []byte) error {
	if _, err := r.StripMarkers(rest); err != nil {
		return err
	}
	if !r.hasEnded {
		return ErrMissingChunk
	}
	return nil
}

// HasEnded reports whether the end marker was read.
func (r *RelayReader) HasEnded() bool {
	return r.hasEnded
}

// parseMarker returns the number in a line that starts with prefix; false if the line is
// no such marker.
func parseMarker(line []byte, prefix string) (int, bool) {
	number, ok := bytes.CutPrefix(line, []byte(prefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimRight(number, "\r\n")))
	return n, err == nil
}
