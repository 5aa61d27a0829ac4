package cwsetting_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

func load(args []string, env ...string) (*cwsetting.Settings, error) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	cwsetting.AddFlags(flags)
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	return cwsetting.Load(flags, func(name string) (string, bool) {
		for _, pair := range env {
			if value, ok := strings.CutPrefix(pair, name+"="); ok {
				return value, true
			}
		}
		return "", false
	})
}

// TestLoadReportsAllErrors guards against a start that reports only the first of several
// invalid settings, and against a peer key in the error message.
func TestLoadReportsAllErrors(t *testing.T) {
	is := is.New(t)
	_, err := load([]string{"--caller-address=localhost:80", "--size=-1", "--drain-timeout=soon", "--peer-key=short"})
	is.True(err != nil)
	for _, setting := range []string{"--caller-address", "--size", "--drain-timeout", "--region", "--platform", "CLEMENTINEWELL_PEER_KEY"} {
		is.True(strings.Contains(err.Error(), setting))
	}
	is.True(!strings.Contains(err.Error(), "short")) // the message must not contain the secret
}

// TestFlagOverridesEnvironment guards against an environment variable that replaces the
// value of a flag, and against one that is ignored although the flag is not set.
func TestFlagOverridesEnvironment(t *testing.T) {
	is := is.New(t)
	env := []string{
		"CLEMENTINEWELL_REGION=north", "CLEMENTINEWELL_DOMAIN=north-a", "CLEMENTINEWELL_PLATFORM=http://127.0.0.1:1",
		"CLEMENTINEWELL_PEER_KEY=0123456789abcdef", "CLEMENTINEWELL_IDLE_TIMEOUT=7s",
	}
	s, err := load([]string{"--region=south"}, env...)
	is.NoErr(err)
	is.Equal(s.Region, "south")
	is.Equal(s.IdleTimeout, 7*time.Second)
}
