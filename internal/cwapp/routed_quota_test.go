package cwapp_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestQuotaBindsOverAllInstances guards against a client account that uses its quota once at each
// instance, against a refusal that has run or states no time, and against one account's use that
// counts against another. Within ten seconds two instances may run what the quota allows in a
// window, and the slack of the scene.
func TestQuotaBindsOverAllInstances(t *testing.T) {
	const (
		perSecond, burst = 3, 6
		attempts         = 80
		interval         = 100 * time.Millisecond
	)
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		limited := cwstandin.NewPublishedAccount("limited", "secret-a")
		limited["unit"], limited["rate-per-s"], limited["burst"] = "requests", perSecond, burst
		s.Accounts = []map[string]any{limited, cwstandin.NewPublishedAccount("free", "secret-b")}
		s.Publish(cwscene.NewEngineService(0), cwscene.NewRoute("r", "safe", nil))
		worker := s.AddWorker("north-a", "10.1.1.1")
		instances := []*cwscene.RoutedInstance{s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.1.0.2", "north-a")}
		s.AwaitReady()
		time.Sleep(startupTime)
		allowed := 0
		for n := range attempts {
			resp := s.Do(t.Context(), instances[n%2], withKey("/r/x", "secret-a"))
			is.NoErr(resp.Err)
			switch resp.Status {
			case http.StatusOK:
				allowed++
			default:
				is.Equal(resp.Status, http.StatusTooManyRequests)
				seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds > 0)
			}
			is.Equal(s.Do(t.Context(), instances[n%2], withKey("/r/x", "secret-b")).Status, http.StatusOK)
			time.Sleep(interval)
		}
		is.Equal(len(worker.Runs()), allowed+attempts) // what was refused has not run
		bounds := cwscene.DefaultBounds()
		window := bounds.QuotaWindow.Seconds()
		tolerated := (perSecond*window+burst)*(1+bounds.QuotaOverage) + bounds.QuotaSlack
		t.Logf("allowed %d of %d, tolerated %.0f in %.0f s", allowed, attempts, tolerated, window)
		is.True(float64(allowed) <= tolerated+perSecond*(attempts*interval.Seconds()-window))
		is.True(allowed >= perSecond*int(attempts*interval.Seconds()))
	})
}
