package cwsoak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// buildPrograms builds the program of this tree. If a previous commit is named, the program of that
// commit comes before it.
func buildPrograms(t *testing.T, previous string) []string {
	dir := t.TempDir()
	var programs []string
	if previous != "" {
		tree := filepath.Join(dir, "previous")
		archive := filepath.Join(dir, "previous.tar")
		if err := os.Mkdir(tree, 0o700); err != nil {
			t.Fatal(err)
		}
		runCommand(t, "../..", "git", "archive", "--format=tar", "-o", archive, previous)
		runCommand(t, tree, "tar", "-xf", archive)
		programs = append(programs, buildProgram(t, tree, filepath.Join(dir, "clementinewell-previous")))
	}
	return append(programs, buildProgram(t, "../..", filepath.Join(dir, "clementinewell")))
}

func buildProgram(t *testing.T, tree, program string) string {
	runCommand(t, tree, "go", "build", "-o", program, "./cmd/clementinewell")
	return program
}

func runCommand(t *testing.T, dir, name string, args ...string) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", cmd, err, out)
	}
}
