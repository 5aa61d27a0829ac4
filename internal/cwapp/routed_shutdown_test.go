package cwapp_test

import (
	"fmt"
	"net/http"
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
		errs := sendAtIntervals(300, 10*time.Millisecond, func(int) error {
			resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"})
			if resp.Err == nil && resp.Status != http.StatusOK {
				return fmt.Errorf("status %d", resp.Status)
			}
			return resp.Err
		})
		checkAnsweredOrRefused(t, is, errs)
		<-i.Done()
	})
}
