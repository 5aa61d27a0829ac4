package cwapp_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRequestAtTheEndOfTheGraceGetsResponse guards against a connection that is closed without a
// response because its request is still in progress when the grace of a shutdown is over. The
// process must end within the grace all the same.
func TestRequestAtTheEndOfTheGraceGetsResponse(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"timeout-ms": 60_000}))
		s.AddWorker("north-a", "10.1.1.1").SetDefaultFault(cwstandin.FaultHang)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		responses := make(chan cwscene.RoutedResponse, 1)
		go func() {
			responses <- s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order", Timeout: time.Minute})
		}()
		synctest.Wait()
		start := time.Now()
		i.Stop()
		resp := <-responses
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusBadGateway) // it may have run
		<-i.Done()
		is.True(time.Since(start) < cwscene.DefaultBounds().ShutdownGrace)
	})
}
