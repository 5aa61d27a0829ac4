package cwapp_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestBodiesInMemoryAreLimitedTogether guards against bodies of the largest size that together
// exceed the memory of an instance. What finds no memory gets 503 with a time to return and has not
// run, small bodies are served meanwhile, and afterwards the memory is free again.
func TestBodiesInMemoryAreLimitedTogether(t *testing.T) {
	const (
		maxBodyBytes = 4 << 20
		senderCount  = 12
		// An eighth of the memory limit of an instance whose settings state none.
		fittingCount = (144 << 20) / 8 / maxBodyBytes
	)
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		limits := map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
		s.PublishLimits(limits, nil, cwscene.NewRoute("r", "unsafe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		w.SetDefaultFault(cwstandin.FaultSlowResponse)
		s.RegisterWorker(w.ID, "north-a", "10.1.1.1", map[string]any{"slots": 2 * senderCount})
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		var served, refused atomic.Int64
		var wg sync.WaitGroup
		for range senderCount {
			wg.Go(func() {
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: strings.Repeat("x", maxBodyBytes)})
				switch {
				case resp.Err == nil && resp.Status == http.StatusOK:
					served.Add(1)
				case resp.Err == nil && resp.Status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "1.000" && resp.Body == "bodiesInMemory\n":
					refused.Add(1)
				}
			})
		}
		wg.Go(func() {
			resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "small"})
			if resp.Status != http.StatusOK {
				t.Errorf("small body: got status %d and error %v, expected 200", resp.Status, resp.Err)
			}
		})
		wg.Wait()
		synctest.Wait() // callers have their answers before the instance has given back the memory
		is.Equal(served.Load(), int64(fittingCount))
		is.Equal(refused.Load(), int64(senderCount-fittingCount))
		is.Equal(len(w.Runs()), fittingCount+1) // none of the refused ones has run
		is.Equal(i.Requests.UsedBytes(), int64(0))
	})
}
