package cwcommand_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcommand"
)

// TestTracePrintsRequestLinesInOrder guards against lines of other requests, lines that
// are out of order, and a failure on the truncated last line of a killed instance.
func TestTracePrintsRequestLinesInOrder(t *testing.T) {
	is := is.New(t)
	log := `{"time":"2026-01-01T00:00:02Z","message":"request ended","request":"r1"}
{"time":"2026-01-01T00:00:01Z","message":"attempt","request":"r1"}
{"time":"2026-01-01T00:00:01Z","message":"attempt","request":"r2"}
{"time":"2026-01-01T00:00:03Z","mess`
	var out bytes.Buffer
	root := cwcommand.NewRoot()
	root.SetIn(strings.NewReader(log))
	root.SetOut(&out)
	root.SetArgs([]string{"trace", "r1"})
	is.NoErr(root.Execute())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "attempt"))

	root = cwcommand.NewRoot()
	root.SetIn(strings.NewReader(log))
	root.SetArgs([]string{"trace", "unknown"})
	is.True(root.Execute() != nil)
}
