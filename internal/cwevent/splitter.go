// Package cwevent splits streams of server-sent events into whole events, and numbers
// the chunks of streams that one instance relays to another.
package cwevent

import (
	"bytes"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
)

// uncountedBytes is the size up to which the start of an event does not count in the budget. A
// stream's read buffer is as large.
const uncountedBytes = 4 << 10

var (
	// An empty line ends an event. Lines end with LF or CRLF.
	delimiterLF   = []byte("\n\n")
	delimiterCRLF = []byte("\n\r\n")

	idPrefix = []byte("id:")
	doneLine = []byte("data: [DONE]")
)

// Splitter splits a stream of server-sent events into whole events. It stores the
// identifier of the last one, so that the stream can be resumed.
type Splitter struct {
	// Peer is the address of the stream's sender, for errors.
	Peer string
	// Memory is what the start of an event counts in; nil if it does not count.
	Memory *cwlimit.Reservation
	// LastEventID is the identifier of the last whole event.
	LastEventID string
	// Done is set after the "[DONE]" event that ends an OpenAI-style stream.
	Done bool
	// HoldsComments is set if comments before the first event are returned together with it.
	HoldsComments bool
	// HasEvent is set if the latest call of Push returned an event, and not only comments.
	HasEvent bool

	// pending are the bytes after the last whole event.
	pending []byte
	// heldBytes is the length of the comments that pending begins with. hasBegun is set once an
	// event was returned.
	heldBytes int
	hasBegun  bool
}

// Push appends bytes of the stream and returns the events and comments that are complete. The
// result is valid, and counts in the memory, until ReleaseEvents. The error is a *cwlimit.Error if
// an event is larger than cwlimit.MaxEventBytes or its start does not fit into memory.
func (s *Splitter) Push(p []byte) ([]byte, error) {
	size := len(s.pending) + len(p)
	if s.Memory != nil && size > uncountedBytes && !s.Memory.Resize(int64(size)) {
		s.pending = nil
		return nil, s.Memory.Error("read event", s.Peer)
	}
	// The delimiter may begin with the last bytes that were searched before.
	searched := max(len(s.pending)-len(delimiterCRLF)+1, 0)
	s.pending = append(s.pending, p...)
	s.HasEvent = false
	end := s.findEnd(searched)
	if end < 0 && size > cwlimit.MaxEventBytes {
		s.pending = nil
		return nil, &cwlimit.Error{Step: "read event", Peer: s.Peer, LimitBytes: cwlimit.MaxEventBytes}
	}
	if end < 0 {
		return nil, nil
	}
	events := s.pending[:end]
	s.scan(events)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return events, nil
}

// ReleaseEvents returns the memory of the events that Push returned. What is left of the chunk, the
// start of the next event, is too short to count.
func (s *Splitter) ReleaseEvents() {
	if s.Memory != nil {
		s.Memory.Release()
	}
}

// findEnd returns where the events to be returned end in pending, -1 if there are none. No empty
// line ends before searched.
func (s *Splitter) findEnd(searched int) int {
	end := lastDelimiterEnd(s.pending[searched:])
	if end < 0 {
		return -1
	}
	end += searched
	if s.HoldsComments && !s.hasBegun && !hasField(s.pending[s.heldBytes:end]) {
		s.heldBytes = end
		return -1
	}
	s.hasBegun, s.heldBytes = true, 0
	return end
}

// hasField reports whether whole lines contain a field of an event, and not only comments.
func hasField(lines []byte) bool {
	for line := range bytes.Lines(lines) {
		if isField(bytes.TrimRight(line, "\r\n")) {
			return true
		}
	}
	return false
}

func isField(line []byte) bool {
	return len(line) > 0 && line[0] != ':'
}

// lastDelimiterEnd returns where the last empty line in p ends, -1 if there is none.
func lastDelimiterEnd(p []byte) int {
	end := -1
	for _, delimiter := range [][]byte{delimiterLF, delimiterCRLF} {
		if i := bytes.LastIndex(p, delimiter); i >= 0 {
			end = max(end, i+len(delimiter))
		}
	}
	return end
}

// TakeHeld returns and removes the comments that were held, at the end of a stream without an event.
func (s *Splitter) TakeHeld() []byte {
	held := s.pending[:s.heldBytes]
	s.pending, s.heldBytes = s.pending[s.heldBytes:], 0
	return held
}

// TakePartial returns and removes the bytes after the last whole event.
func (s *Splitter) TakePartial() []byte {
	partial := s.pending
	s.pending = nil
	return partial
}

// DropPartial discards a partial event before the stream is resumed.
func (s *Splitter) DropPartial() {
	s.pending = nil
}

// scan sets HasEvent, LastEventID and Done from whole events.
func (s *Splitter) scan(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		s.HasEvent = s.HasEvent || isField(line)
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			s.LastEventID = string(bytes.TrimSpace(id))
		}
		if bytes.Equal(line, doneLine) {
			s.Done = true
		}
	}
}
