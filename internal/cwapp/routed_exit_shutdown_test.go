package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestRelayedRequestsSurviveShutdownOfExit guards against requests that fail with 502 or
// without a response because the instance that they are relayed to closes a kept connection
// during its shutdown. The caller's own instance is not affected by planned work.
func TestRelayedRequestsSurviveShutdownOfExit(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", cwscene.RoutedRoute{"home-regions": []string{"south"}}))
				s.AddWorker("south-a", "10.2.1.1")
				north := s.AddInstance("10.1.0.1", "north-a")
				var south []*cwscene.RoutedInstance
				for n := range 3 {
					ip := fmt.Sprintf("10.2.0.%d", n+1)
					south = append(south, s.AddInstance(ip, "south-a"))
					s.Net.SetDelay(north.IP, ip, delay)
				}
				s.AwaitReady()
				time.Sleep(3 * time.Second)
				is.Equal(s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
				time.Sleep(20 * time.Second) // until the metrics show the request
				exit := slices.IndexFunc(south, func(i *cwscene.RoutedInstance) bool { return hasAnswered(t, s, i) })
				is.True(exit >= 0)
				var wg sync.WaitGroup
				var mu sync.Mutex
				statuses := make(map[string]int)
				for n := range 500 {
					if n == 50 {
						south[exit].Stop()
					}
					wg.Go(func() {
						resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Body: "order"})
						mu.Lock()
						defer mu.Unlock()
						statuses[fmt.Sprint(resp.Status, " ", resp.Err)]++
						if resp.Err != nil || resp.Status != http.StatusOK && resp.Status != http.StatusServiceUnavailable {
							t.Errorf("request at %d ms: status %d %s, %v", 10*n, resp.Status, strings.TrimSpace(resp.Body), resp.Err)
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
				wg.Wait()
				is.True(statuses["200 <nil>"] > 0)
			})
		})
	}
}

// hasAnswered reports whether the instance has answered a request.
func hasAnswered(t *testing.T, s *cwscene.RoutedScene, i *cwscene.RoutedInstance) bool {
	const metric = `clementinewell_routed_requests{outcome="answered"} `
	page := s.FetchAdmin(t, i, "/metrics")
	return strings.Contains(page, metric) && !strings.Contains(page, metric+"0")
}
