package cwtrace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwtrace"
)

func TestReplayRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("../../testdata/traces/*.jsonl")
	if err != nil || len(files) < 12 {
		t.Fatalf("found %d traces, want at least 12: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			f, err := os.Open(file)
			is.NoErr(err)
			defer f.Close()
			compared, err := cwtrace.Replay(f)
			is.NoErr(err)
			is.True(compared > 0) // a trace without expected outcomes checks nothing
		})
	}
}

// TestReplayReportsErrors guards against traces that pass although an outcome is
// wrong, or because a misspelt event or field is ignored.
func TestReplayReportsErrors(t *testing.T) {
	is := is.New(t)
	_, err := cwtrace.Replay(strings.NewReader(`{"do":"places","instance":"a","places":["north"],"home":"south","expect":"south"}`))
	is.True(err != nil)
	_, err = cwtrace.Replay(strings.NewReader(`{"do":"nothing"}`))
	is.True(err != nil)
	_, err = cwtrace.Replay(strings.NewReader(`{"do":"places","plaices":[]}`))
	is.True(err != nil)
}
