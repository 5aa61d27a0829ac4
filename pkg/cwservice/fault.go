package cwservice

import (
	"fmt"
	"strings"
)

// Fault is one error in a service file or account file.
type Fault struct {
	// File is the name of the file.
	File string
	// Line is the line number, from 1. For a missing field it is the line of the nearest
	// parent that is present.
	Line int
	// Field is the path of the field, such as targets.firstTokenMillis; for an unknown
	// field only its name. It is empty if the fault concerns the whole file or if a
	// value cannot be decoded.
	Field string
	// Reason describes the error.
	Reason string
}

// Error returns the file, line, field and reason.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// Faults are all errors in a set of files.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
