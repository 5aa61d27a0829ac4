package cwevent

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrGap means that a piece of a relayed stream is missing. Bytes that a partition
// held up can be lost while later ones arrive.
var ErrGap = errors.New("a piece of the relayed stream is missing")

// Marks of a relayed stream: comments of server-sent events, which number each piece
// and tell the count at the end. They never reach a caller.
const (
	pieceMark = ":cw-piece "
	endMark   = ":cw-end "
)

// HopWriter numbers the pieces of a stream that goes to another instance.
type HopWriter struct {
	pieces int
}

// Piece returns whole events with their number in front.
func (h *HopWriter) Piece(events []byte) []byte {
	out := make([]byte, 0, len(events)+len(pieceMark)+8)
	out = fmt.Appendf(out, "%s%d\n", pieceMark, h.pieces)
	h.pieces++
	return append(out, events...)
}

// End returns what follows the last piece.
func (h *HopWriter) End() []byte {
	return fmt.Appendf(nil, "%s%d\n\n", endMark, h.pieces)
}

// HopReader takes the marks out of a stream that another instance relays, and notices
// a missing piece.
type HopReader struct {
	pieces int
	ended  bool
}

// Strip returns whole events without their marks, or ErrGap.
func (h *HopReader) Strip(events []byte) ([]byte, error) {
	out := make([]byte, 0, len(events))
	skipBlank := false
	for line := range bytes.Lines(events) {
		if skipBlank && len(bytes.TrimRight(line, "\r\n")) == 0 {
			skipBlank = false
			continue
		}
		skipBlank = false
		if n, ok := mark(line, pieceMark); ok {
			if n != h.pieces {
				return nil, fmt.Errorf("%w: %d came after %d", ErrGap, n, h.pieces-1)
			}
			h.pieces++
			continue
		}
		if n, ok := mark(line, endMark); ok {
			if n != h.pieces {
				return nil, fmt.Errorf("%w: %d of %d came", ErrGap, h.pieces, n)
			}
			h.ended, skipBlank = true, true
			continue
		}
		out = append(out, line...)
	}
	return out, nil
}

// Ended reports whether the end of the stream came.
func (h *HopReader) Ended() bool {
	return h.ended
}

func mark(line []byte, prefix string) (int, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(prefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimRight(rest, "\r\n")))
	return n, err == nil
}
