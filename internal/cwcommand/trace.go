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

// newTrace joins the log lines of several instances by a request's identifier.
func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST [FILE...]",
		Short: "Print what instances logged about one request, in order",
		Long:  "Print the log lines about one request from files of several instances, or from standard input, in the order of their time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var story []logLine
			if len(args) == 1 {
				story = findLogLines(cmd.InOrStdin(), args[0])
			}
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("trace: %w", err)
				}
				story = append(story, findLogLines(f, args[0])...)
				_ = f.Close()
			}
			if len(story) == 0 {
				return fmt.Errorf("trace: no line about request %s", args[0])
			}
			slices.SortStableFunc(story, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
			for _, line := range story {
				cmd.Println(line.text)
			}
			return nil
		},
	}
}

// logLine is one log line with what orders it.
type logLine struct {
	Request string `json:"request"`
	Time    string `json:"time"`

	text string
}

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

// findLogLines returns the lines about a request. Lines that are no JSON, such as the
// cut last line of a killed instance, are passed over.
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
