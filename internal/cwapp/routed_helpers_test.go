package cwapp_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// inRoutedScene runs a test inside a synctest bubble, with a fake clock and a deployment
// on the users' platform.
func inRoutedScene(t *testing.T, run func(t *testing.T, is *is.I, s *cwscene.RoutedScene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := cwscene.NewRoutedScene(t)
		defer s.Close()
		run(t, is.New(t), s)
	})
}

// newPromptHeader returns the header fields of a request to a model engine.
func newPromptHeader(more ...string) []string {
	return append([]string{
		"Clementinewell-Model", "m", "Clementinewell-Token-Count", "900,60",
		"Clementinewell-Prompt-Prefix", "a1:500,b2:400",
	}, more...)
}
