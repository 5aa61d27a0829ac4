package cwapp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestRequestKeepsItsTimeLimit guards against a request that is ended before the time limit of
// the route with which it began, or held after it, because a configuration changes the limit
// while the request waits for its endpoint.
func TestRequestKeepsItsTimeLimit(t *testing.T) {
	for _, sc := range []struct {
		name         string
		limitsMillis []int
	}{
		{"unchanged", []int{4000, 4000}},
		{"shorter", []int{4000, 1500}},
		{"longer", []int{4000, 60000}},
		{"none", []int{4000, 0}},
		{"shorter and longer again", []int{4000, 1500, 60000}},
	} {
		for _, isRelayed := range []bool{false, true} {
			t.Run(sc.name+map[bool]string{false: "", true: ", relayed"}[isRelayed], func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					c := newChangeScene(t.Context(), s, holdHead, isRelayed)
					c.publishRoutes(cwscene.RoutedRoute{"timeout-ms": sc.limitsMillis[0]})
					awaitConfig(s, c.entry)
					go func() {
						<-c.reached
						for _, limit := range sc.limitsMillis[1:] {
							c.publishRoutes(cwscene.RoutedRoute{"timeout-ms": limit})
							time.Sleep(time.Second)
						}
					}()
					resp := c.Do(t.Context(), c.entry, cwscene.RoutedRequest{Path: "/r/x", Timeout: time.Minute})
					is.NoErr(resp.Err)
					is.Equal(resp.Status, map[bool]int{false: http.StatusGatewayTimeout, true: http.StatusBadGateway}[isRelayed]) // it may have run
					is.True(resp.Elapsed <= 4*time.Second)
					is.True(resp.Elapsed > 3500*time.Millisecond)
				})
			})
		}
	}
}

// TestRequestWaitsForFirstConfig guards against a request to an instance without a configuration
// that is neither served once there is one nor refused in time.
func TestRequestWaitsForFirstConfig(t *testing.T) {
	for _, sc := range []struct {
		name              string
		publishAfter      time.Duration
		timeout, answered time.Duration
		status            int
	}{
		{"none comes", time.Minute, 5 * time.Second, 550 * time.Millisecond, http.StatusServiceUnavailable},
		{"one comes", 200 * time.Millisecond, 5 * time.Second, 300 * time.Millisecond, http.StatusOK},
		{"none comes before the deadline", time.Minute, 200 * time.Millisecond, 200 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				time.Sleep(time.Second)
				go func() {
					time.Sleep(sc.publishAfter)
					s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				}()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: sc.timeout})
				is.NoErr(resp.Err)
				is.Equal(resp.Status, sc.status)
				is.True(resp.Elapsed <= sc.answered)
			})
		})
	}
}
