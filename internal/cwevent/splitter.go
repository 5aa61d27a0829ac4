// Package cwevent splits streams of server-sent events into whole events, and numbers
// the chunks of streams that one instance relays to another.
package cwevent

import (
	"bytes"
)

// maxEventBytes is the size from which an event is forwarded before its end arrives.
const maxEventBytes = 1 << 20

var (
	eventDelimiter = []byte("\n\n")
	idPrefix       = []byte("id:")
	doneLine       = []byte("data: [DONE]")
)

// Splitter splits a stream of server-sent events into whole events. It stores the
// identifier of the last one, so that the stream can be resumed.
type Splitter struct {
	// LastEventID is the identifier of the last whole event.
	LastEventID string
	// Done is set after the "[DONE]" event that ends an OpenAI-style stream.
	Done bool

	// pending are the bytes after the last whole event.
	pending []byte
}

// Push appends bytes of the stream and returns the events that are complete. The result
// is valid until the next call.
func (s *Splitter) Push(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventDelimiter)
	if end < 0 && len(s.pending) < maxEventBytes {
		return nil
	}
	if end < 0 {
		// An oversized event is forwarded in parts and can't be resumed.
		events := s.pending
		s.pending = nil
		return events
	}
	events := s.pending[:end+len(eventDelimiter)]
	s.scan(events)
	s.pending = append([]byte(nil), s.pending[end+len(eventDelimiter):]...)
	return events
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
