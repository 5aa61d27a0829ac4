package cwapp_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestRequestReadAfterListenerClosedIsAnswered guards against requests that are read and
// dropped during a shutdown: the connection is accepted before the listener closes, and its
// first request arrives after that.
func TestRequestReadAfterListenerClosedIsAnswered(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.Net.SetDelay(cwscene.CallerIP, i.IP, 80*time.Millisecond)
		i.Stop()
		var wg sync.WaitGroup
		responses := make([]cwscene.RoutedResponse, 300)
		for n := range responses {
			wg.Go(func() { responses[n] = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"}) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		served, refused := 0, 0
		for n, resp := range responses {
			switch {
			case resp.Err == nil:
				is.Equal(resp.Status, http.StatusOK)
				served++
			case strings.Contains(resp.Err.Error(), "connection refused"):
				refused++
			default:
				t.Errorf("request %d ms after the signal: %v", 10*n, resp.Err)
			}
		}
		is.True(served > 0)
		is.True(refused > 0) // the requests continue until the listener is closed
		<-i.Done()
	})
}
