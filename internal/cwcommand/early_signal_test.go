package cwcommand_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	cwwire "github.com/clementinewell/clementinewell/platform"
)

// TestReloadSignalBeforeTheSettingsAreRead guards against an instance that ends because SIGHUP
// arrives while it reads its settings for the first time.
func TestReloadSignalBeforeTheSettingsAreRead(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "clementinewell")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/clementinewell").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	settings := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), cwwire.SettingsEnv+"="+settings)
	is.NoErr(cmd.Start())
	// Opening the pipe waits until the instance opens it to read.
	w, err := os.OpenFile(settings, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = w.WriteString("node-name=incomplete\n")
	is.NoErr(err)
	is.NoErr(w.Close())
	// The instance ends by itself, with an error about the settings.
	var exitErr *exec.ExitError
	is.True(errors.As(cmd.Wait(), &exitErr))
	is.True(exitErr.Exited())
	is.Equal(exitErr.ExitCode(), 1)
}
