package cwapp_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestSilentConnectionsFailFewRequests guards against kept connections that have gone silent for good, of
// which each fails one request after the other until its deadline, while new connections work.
func TestSilentConnectionsFailFewRequests(t *testing.T) {
	const conns = 8
	for _, sc := range []struct {
		name, kind, workerDomain, silentIP string
	}{
		{"unsafe requests, connections to an endpoint", "unsafe", "north-a", "10.1.1.1"},
		{"safe requests, connections to an endpoint", "safe", "north-a", "10.1.1.1"},
		{"unsafe requests, connections to an exit", "unsafe", "south-a", "10.2.0.1"},
		{"safe requests, connections to an exit", "safe", "south-a", "10.2.0.1"},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", sc.kind, nil))
				w := s.AddWorker(sc.workerDomain, map[string]string{"north-a": "10.1.1.1", "south-a": "10.2.1.1"}[sc.workerDomain])
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(5 * time.Second)
				send := func() cwscene.RoutedResponse {
					return s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: 600 * time.Millisecond})
				}
				w.SetServiceTime(100 * time.Millisecond)
				var wg sync.WaitGroup
				for range conns {
					wg.Go(func() { _ = send() })
				}
				wg.Wait()
				w.SetServiceTime(0)
				s.Net.StallOpenConns(i.IP, sc.silentIP)
				failed := 0
				for range conns {
					time.Sleep(10 * time.Millisecond) // a round trip, to open a connection
					if resp := send(); resp.Status != http.StatusOK {
						t.Logf("status %d after %v", resp.Status, resp.Elapsed)
						failed++
					}
				}
				is.True(failed <= 1) // only the request that finds the silence
			})
		})
	}
}
