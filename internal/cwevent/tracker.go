// Package cwevent cuts streams of server-sent events into whole events.
package cwevent

import (
	"bytes"
)

const maxEventBytes = 1 << 20

var (
	eventDelimiter = []byte("\n\n")
	idPrefix       = []byte("id:")
	doneLine       = []byte("data: [DONE]")
)

// Splitter passes on a stream of server-sent events in whole events, and
// remembers the number of the last one, so that the stream can be resumed.
type Splitter struct {
	// LastEventID is the number of the last whole event.
	LastEventID string
	// Done is set once the end mark of an OpenAI-style stream came.
	Done bool

	pending []byte
}

// Push adds bytes and returns the whole events among them. The result is valid
// until the next Push.
func (t *Splitter) Push(p []byte) []byte {
	t.pending = append(t.pending, p...)
	end := bytes.LastIndex(t.pending, eventDelimiter)
	if end < 0 && len(t.pending) < maxEventBytes {
		return nil
	}
	if end < 0 {
		// An event above the bound is passed on in parts and can't be resumed.
		whole := t.pending
		t.pending = nil
		return whole
	}
	whole := t.pending[:end+len(eventDelimiter)]
	t.scan(whole)
	t.pending = append([]byte(nil), t.pending[end+len(eventDelimiter):]...)
	return whole
}

// TakePartial returns what did not end with an event end.
func (t *Splitter) TakePartial() []byte {
	rest := t.pending
	t.pending = nil
	return rest
}

// DropPartial drops a partial event before the stream is resumed.
func (t *Splitter) DropPartial() {
	t.pending = nil
}

func (t *Splitter) scan(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			t.LastEventID = string(bytes.TrimSpace(id))
		}
		if bytes.Equal(line, doneLine) {
			t.Done = true
		}
	}
}
