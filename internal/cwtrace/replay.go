package cwtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Mismatch is a step whose outcome was not the stated one.
type Mismatch struct {
	// Line is the line of the trace, from 1.
	Line int
	// Step is the step, and Got what was decided.
	Step Step
	Got  string
}

// Error gives line, event, both outcomes and the note.
func (m Mismatch) Error() string {
	return fmt.Sprintf("line %d: %s at %s: got %q, want %q (%s)", m.Line, m.Step.Event, m.Step.Instance, m.Got, m.Step.Expect, m.Step.Note)
}

// Replay runs a trace. It returns the number of outcomes that were compared, and
// an error that joins every Mismatch. Unknown events and fields are errors.
func Replay(r io.Reader) (int, error) {
	w := newReplayState()
	compared, line := 0, 0
	var wrong []error
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		s := Step{}
		dec := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&s); err != nil {
			return compared, fmt.Errorf("line %d: %w", line, err)
		}
		got, err := w.runStep(&s)
		if err != nil {
			return compared, fmt.Errorf("line %d: %w", line, err)
		}
		if s.Expect == "" {
			continue
		}
		compared++
		if got != s.Expect {
			wrong = append(wrong, Mismatch{Line: line, Step: s, Got: got})
		}
	}
	return compared, errors.Join(append(wrong, lines.Err())...)
}
