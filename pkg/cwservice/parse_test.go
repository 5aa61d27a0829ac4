package cwservice_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const validServiceFile = `name: job-lookup
kind: plain
places: [north]
class: interactive
targets: {firstTokenMillis: 300, deadlineMillis: 3000, objective: 0.99}
idempotent: true
weights: {tail: 1}
`

func ExampleParse() {
	s, err := cwservice.Parse("job-lookup.yaml", []byte(validServiceFile))
	fmt.Println(s.Name, s.Targets.FirstToken(), s.Repeatable("GET", "/jobs/1"), err)
	_, err = cwservice.Parse("job-lookup.yaml", []byte(strings.Replace(validServiceFile, "plain", "plian", 1)))
	fmt.Println(err)
	// Output:
	// job-lookup 300ms true <nil>
	// job-lookup.yaml:2: kind: must be engine or plain
}

// TestFaultsHaveLineAndField guards against faults that point to a wrong line or field.
func TestFaultsHaveLineAndField(t *testing.T) {
	scenarios := []struct {
		name, from, to, field string
		line                  int
	}{
		{"bad name", "job-lookup", "Job Lookup", "name", 1},
		{"unknown field", "idempotent: true", "idempotentt: true", "idempotentt", 6},
		{"no allowed region", "[north]", "[]", "places", 3},
		{"region listed twice", "[north]", "[north, north]", "places.1", 3},
		{"unknown class", "interactive", "urgent", "class", 4},
		{"deadline below first token target", "deadlineMillis: 3000", "deadlineMillis: 200", "targets.deadlineMillis", 5},
		{"objective of one", "0.99", "1", "targets.objective", 5},
		{"neither cost nor tail weight", "tail: 1", "away: 1", "weights", 7},
		{"model on a plain service", "kind: plain", "kind: plain\nmodel: m", "model", 3},
		{"wrong type", "idempotent: true", "idempotent: often", "", 6},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			is := is.New(t)
			_, err := cwservice.Parse("f.yaml", []byte(strings.Replace(validServiceFile, scenario.from, scenario.to, 1)))
			var faults cwservice.Faults
			is.True(errors.As(err, &faults))
			is.Equal(faults[0].Line, scenario.line)
			is.Equal(faults[0].Field, scenario.field)
		})
	}
}

// TestParseExamples guards against a change of the format that rejects the example files.
func TestParseExamples(t *testing.T) {
	is := is.New(t)
	files, _ := filepath.Glob("../../examples/*/*.yaml")
	is.True(len(files) >= 9)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		if filepath.Base(file) == "accounts.yaml" {
			_, err = cwservice.ParseAccounts(file, data)
		} else {
			_, err = cwservice.Parse(file, data)
		}
		is.NoErr(err)
	}
}

// FuzzParse guards against panics on any input, and against accepted files without a name
// or an allowed region.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validServiceFile))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := cwservice.Parse("f.yaml", data)
		if err == nil && (s.Name == "" || len(s.Places) == 0) {
			t.Fatal("a service without a name or an allowed region was accepted")
		}
	})
}
