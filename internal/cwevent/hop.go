package cwevent

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMissingChunk means that a piece of a relayed stream is missing. Bytes that a partition
// held up can be lost while later ones arrive.
var ErrMissingChunk = errors.New("a piece of the relayed stream is missing")

// Marks of a relayed stream: comments of server-sent events, which number each piece
// and tell the count at the end. They never reach a caller.
const (
	chunkMarker = ":cw-piece "
	endMarker   = ":cw-end "
)

// RelayWriter numbers the pieces of a stream that goes to another instance.
type RelayWriter struct {
	chunks int
}

// EncodeChunk returns whole events with their number in front.
func (h *RelayWriter) EncodeChunk(events []byte) []byte {
	out := make([]byte, 0, len(events)+len(chunkMarker)+8)
	out = fmt.Appendf(out, "%s%d\n", chunkMarker, h.chunks)
	h.chunks++
	return append(out, events...)
}

// EncodeEnd returns what follows the last piece.
func (h *RelayWriter) EncodeEnd() []byte {
	return fmt.Appendf(nil, "%s%d\n\n", endMarker, h.chunks)
}

// RelayReader takes the marks out of a stream that another instance relays, and notices
// a missing piece.
type RelayReader struct {
	chunks int
	ended  bool
}

// StripMarkers returns whole events without their marks, or ErrGap.
func (h *RelayReader) StripMarkers(events []byte) ([]byte, error) {
	out := make([]byte, 0, len(events))
	skipBlank := false
	for line := range bytes.Lines(events) {
		if skipBlank && len(bytes.TrimRight(line, "\r\n")) == 0 {
			skipBlank = false
			continue
		}
		skipBlank = false
		if n, ok := parseMarker(line, chunkMarker); ok {
			if n != h.chunks {
				return nil, fmt.Errorf("%w: %d came after %d", ErrMissingChunk, n, h.chunks-1)
			}
			h.chunks++
			continue
		}
		if n, ok := parseMarker(line, endMarker); ok {
			if n != h.chunks {
				return nil, fmt.Errorf("%w: %d of %d came", ErrMissingChunk, h.chunks, n)
			}
			h.ended, skipBlank = true, true
			continue
		}
		out = append(out, line...)
	}
	return out, nil
}

// HasEnded reports whether the end of the stream came.
func (h *RelayReader) HasEnded() bool {
	return h.ended
}

func parseMarker(line []byte, prefix string) (int, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(prefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimRight(rest, "\r\n")))
	return n, err == nil
}
