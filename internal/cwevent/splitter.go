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

	// pending are the bytes after the last whole event.
	pending []byte
}

// Push appends bytes of the stream and returns the events that are complete. The result
// is valid until the next call. The error is a *cwlimit.Error if an event is larger than
// cwlimit.MaxEventBytes or its start does not fit into memory.
func (s *Splitter) Push(p []byte) ([]byte, error) {
	size := len(s.pending) + len(p)
	if s.Memory != nil && size > uncountedBytes && !s.Memory.Resize(int64(size)) {
		s.pending = nil
		return nil, s.Memory.Error("read event", s.Peer)
	}
	// The delimiter may begin with the last bytes that were searched before.
	searched := max(len(s.pending)-len(delimiterCRLF)+1, 0)
	s.pending = append(s.pending, p...)
	end := lastDelimiterEnd(s.pending[searched:])
	if end < 0 && size > cwlimit.MaxEventBytes {
		s.pending = nil
		return nil, &cwlimit.Error{Step: "read event", Peer: s.Peer, LimitBytes: cwlimit.MaxEventBytes}
	}
	if end < 0 {
		return nil, nil
	}
	events := s.pending[:searched+end]
	s.scan(events)
	s.pending = append([]byte(nil), s.pending[searched+end:]...)
	if s.Memory != nil {
		s.Memory.Release()
	}
	return events, nil
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

// scan sets LastEventID and Done from whole events.
func (s *Splitter) scan(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			s.LastEventID = string(bytes.TrimSpace(id))
		}
		if bytes.Equal(line, doneLine) {
			s.Done = true
		}
	}
}
