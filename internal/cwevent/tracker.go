// Package cwevent cuts streams of server-sent events into whole events.
package cwevent

import (
	"bytes"
)

const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	idPrefix  = []byte("id:")
	doneEvent = []byte("data: [DONE]")
)

// Tracker passes on a stream of server-sent events in whole events, and
// remembers the number of the last one, so that the stream can be resumed.
type Tracker struct {
	// LastID is the number of the last whole event.
	LastID string
	// Done is set once the end mark of an OpenAI-style stream came.
	Done bool

	pending []byte
}

// Push adds bytes and returns the whole events among them. The result is valid
// until the next Push.
func (t *Tracker) Push(p []byte) []byte {
	t.pending = append(t.pending, p...)
	end := bytes.LastIndex(t.pending, eventEnd)
	if end < 0 && len(t.pending) < maxEventBytes {
		return nil
	}
	if end < 0 {
		// An event above the bound is passed on in parts and can't be resumed.
		whole := t.pending
		t.pending = nil
		return whole
	}
	whole := t.pending[:end+len(eventEnd)]
	t.scan(whole)
	t.pending = append([]byte(nil), t.pending[end+len(eventEnd):]...)
	return whole
}

// Rest returns what did not end with an event end.
func (t *Tracker) Rest() []byte {
	rest := t.pending
	t.pending = nil
	return rest
}

// Restart drops a partial event before the stream is resumed.
func (t *Tracker) Restart() {
	t.pending = nil
}

func (t *Tracker) scan(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			t.LastID = string(bytes.TrimSpace(id))
		}
		if bytes.Equal(line, doneEvent) {
			t.Done = true
		}
	}
}
