package cwapp_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestEntryIsRewrittenDuringRequests guards against a request that reads the identifier or the
// address of its endpoint while the endpoint's new entry replaces them. The race detector
// finds it.
func TestEntryIsRewrittenDuringRequests(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "safe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		w.SetServiceTime(30 * time.Millisecond)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		var wg sync.WaitGroup
		for n := range 400 {
			if n%8 == 0 {
				s.RegisterWorker(w.ID, "north-a", "10.1.1.1", map[string]any{"sequence": n})
			}
			wg.Go(func() { is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
	})
}
