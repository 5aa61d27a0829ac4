package cwdispatch

import (
	"bytes"
)

const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	idPrefix  = []byte("id:")
	doneEvent = []byte("data: [DONE]")
)

// eventTracker passes on a stream of server-sent events in whole events, and
// remembers the number of the last one, so that the stream can be resumed.
type eventTracker struct {
	pending []byte
	lastID  string
	done    bool
}

// push adds bytes and returns the whole events among them. The result is valid
// until the next push.
func (t *eventTracker) push(p []byte) []byte {
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

// rest returns what did not end with an event end.
func (t *eventTracker) rest() []byte {
	rest := t.pending
	t.pending = nil
	return rest
}

// restart drops a partial event before the stream is resumed.
func (t *eventTracker) restart() {
	t.pending = nil
}

func (t *eventTracker) scan(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			t.lastID = string(bytes.TrimSpace(id))
		}
		if bytes.Equal(line, doneEvent) {
			t.done = true
		}
	}
}
