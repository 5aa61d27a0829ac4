package cwapp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

// TestCallersSpreadOverInstancesBySize runs instances of sizes 1, 1 and 3 without a load
// balancer. Callers that use the instance list of the gateway must distribute their
// requests in proportion to the sizes.
func TestCallersSpreadOverInstancesBySize(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		largeInstance := s.AddInstance("10.1.0.3", "north", "north-a", "--size=3")
		s.AwaitReady()
		s.Await(func() bool {
			for _, m := range p.a.Control.Snapshot().Members {
				if m.Size == 3 {
					return true
				}
			}
			return false
		})
		client := s.NewClient(p.a)
		servedByLarge := 0
		const calls = 500
		for range calls {
			resp, err := client.Call(t.Context(), cwclient.Request{Service: "lookup", Method: "GET", Path: "/x"})
			is.NoErr(err)
			if resp.Header.Get("Clementinewell-Instance") == largeInstance.Settings.CallerAddress {
				servedByLarge++
			}
			_ = resp.Body.Close()
			time.Sleep(10 * time.Millisecond)
		}
		share := float64(servedByLarge) / calls
		t.Logf("the instance with size 3 of a total of 5 served %.2f of the requests", share)
		is.True(share > 0.5 && share < 0.7) // three fifths, within a tenth
	})
}
