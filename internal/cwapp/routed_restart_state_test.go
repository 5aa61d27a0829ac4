package cwapp_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestRestartedInstanceUsesNothingThatEnded guards against an instance that is restarted and uses an
// endpoint again that has begun to leave, or a key that was withdrawn: the entry was overwritten by
// an older heartbeat, or it learns its state from a peer that is behind.
func TestRestartedInstanceUsesNothingThatEnded(t *testing.T) {
	for _, sc := range []struct {
		name string
		// isPeerBehind is set if one of the two peers is cut off from the store and the other
		// peer, and the store turns the restarted instance away.
		isPeerBehind bool
		// isOverwritten is set if a heartbeat from before the announcement overwrites it.
		isOverwritten bool
	}{
		{"entry is overwritten by an older heartbeat", false, true},
		{"peer is behind", true, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-old")}
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				leaving, staying := s.AddWorker("north-a", "10.1.1.1"), s.AddWorker("north-a", "10.1.1.2")
				var instances []*cwscene.RoutedInstance
				for _, ip := range []string{"10.1.0.1", "10.1.0.2", "10.1.0.3"} {
					instances = append(instances, s.AddInstance(ip, "north-a"))
				}
				behind, current, restarted := instances[0], instances[1], instances[2]
				s.AwaitReady()
				if sc.isPeerBehind {
					s.Net.SetPartitioned(behind.IP, cwscene.StoreIP, true)
					s.Net.SetPartitioned(behind.IP, current.IP, true)
					s.Net.SetPartitioned(behind.IP, restarted.IP, true)
				}
				s.Accounts = []map[string]any{cwstandin.NewPublishedAccount("a", "secret-new")}
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				s.RegisterWorker(leaving.ID, "north-a", "10.1.1.1", map[string]any{"state": "draining", "sequence": 5})
				time.Sleep(time.Second)
				if sc.isOverwritten {
					s.RegisterWorker(leaving.ID, "north-a", "10.1.1.1", map[string]any{"sequence": 4})
				}
				time.Sleep(configApplyTime)
				s.Kill(restarted)
				time.Sleep(time.Second)
				if sc.isPeerBehind {
					s.Store.RefuseIf(isAt(restarted))
					s.Net.SetPartitioned(behind.IP, restarted.IP, false)
				}
				s.Net.RestoreHost(restarted.IP)
				restarted = s.AddInstance(restarted.IP, "north-a")
				s.Await(restarted.IsReady)
				time.Sleep(time.Second) // some exchanges with both peers
				for range 10 {
					var wg sync.WaitGroup
					for range 4 { // half of an endpoint's slots
						wg.Go(func() {
							for key, want := range map[string]int{"secret-new": http.StatusOK, "secret-old": http.StatusUnauthorized} {
								if got := s.Do(t.Context(), restarted, withKey("/r/x", key)).Status; got != want {
									t.Errorf("%s: status %d instead of %d", key, got, want)
								}
							}
						})
					}
					wg.Wait()
				}
				is.Equal(len(leaving.Runs()), 0)
				is.Equal(len(staying.Runs()), 40)
			})
		})
	}
}
