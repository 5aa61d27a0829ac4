package cwcommand

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"
)

// newTrace returns the command that merges the log lines of several instances about one
// request.
func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Print the log lines about one request, ordered by time",
		Long:  "Print the log lines about one request from the log files of several instances, or from standard input, ordered by time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var matched []logLine
			if len(args) == 1 {
				matched = findLogLines(cmd.InOrStdin(), args[0])
			}
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("trace: %w", err)
				}
				matched = append(matched, findLogLines(f, args[0])...)
				_ = f.Close()
			}
			if len(matched) == 0 {
				return fmt.Errorf("trace: no log line about request %s", args[0])
			}
			slices.SortStableFunc(matched, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
			for _, line := range matched {
				cmd.Println(line.text)
			}
			return nil
		},
	}
}

// logLine is one log line with the fields that select and order it.
type logLine struct {
	Request string `json:"request"`
	Time    string `json:"time"`

	text string
}

// maxLogLineBytes is the maximum length of a log line. A longer line and the rest of its
// file are skipped.
const maxLogLineBytes = 1 << 20

// findLogLines returns the lines about the request with the identifier. Lines that are
// not valid JSON, such as the truncated last line of a killed instance, are skipped.
func findLogLines(r io.Reader, request string) []logLine {
	var found []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Request != request {
			continue
		}
		line.text = scanner.Text()
		found = append(found, line)
	}
	return found
}
