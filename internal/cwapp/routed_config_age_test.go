package cwapp_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestMissingRouteIsLoggedWithItsConfig guards against a 404 whose log line does not tell which
// configuration decided, and how long ago the instance last heard that it is the current one.
func TestMissingRouteIsLoggedWithItsConfig(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		core, logs := observer.New(zapcore.InfoLevel)
		s.Log = zap.New(core)
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/other/x"}).Status, http.StatusNotFound)
		lines := logs.FilterMessage("request turned away").All()
		is.Equal(len(lines), 1)
		fields := lines[0].ContextMap()
		is.Equal(fields["config"], uint64(s.ConfigVersion()))
		for _, name := range []string{"revision", "storeAge", "peerAge"} {
			_, isPresent := fields[name]
			is.True(isPresent) // the field is logged
		}
	})
}
