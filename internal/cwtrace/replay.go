package cwtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Mismatch is an error for a step whose outcome differs from the expected one.
type Mismatch struct {
	// Line is the line number in the trace, from 1.
	Line int
	// Step is the step of the trace, and Got its actual outcome.
	Step Step
	Got  string
}

// Error returns a message with the line, the event, both outcomes and the note.
func (m Mismatch) Error() string {
	return fmt.Sprintf("line %d: %s at %s: got %q, want %q (%s)", m.Line, m.Step.Event, m.Step.Instance, m.Got, m.Step.Expect, m.Step.Note)
}

// Replay replays a trace in JSON Lines format. It returns the number of outcomes
// that were compared, and an error that joins a Mismatch for each that differed. An
// unknown event or field ends the replay with an error.
func Replay(r io.Reader) (int, error) {
	state := newReplayState()
	compared, line := 0, 0
	var mismatches []error
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
		got, err := state.runStep(&s)
		if err != nil {
			return compared, fmt.Errorf("line %d: %w", line, err)
		}
		if s.Expect == "" {
			continue
		}
		compared++
		if got != s.Expect {
			mismatches = append(mismatches, Mismatch{Line: line, Step: s, Got: got})
		}
	}
	return compared, errors.Join(append(mismatches, lines.Err())...)
}
