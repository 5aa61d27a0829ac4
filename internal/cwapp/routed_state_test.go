package cwapp_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// matchHost returns a function that reports whether a remote address belongs to the host.
func matchHost(ip string) func(remoteAddr string) bool {
	return func(remoteAddr string) bool { return strings.HasPrefix(remoteAddr, ip+":") }
}

// TestConfigReachesInstanceRefusedByStore checks that an instance that the store refuses gets
// changes from another instance.
func TestConfigReachesInstanceRefusedByStore(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		s.AddInstance("10.1.0.1", "north-a")
		refused := s.AddInstance("10.1.0.2", "north-a")
		s.AwaitReady()
		s.Store.RefuseIf(matchHost(refused.IP))
		s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
		start := time.Now()
		s.Await(func() bool {
			return s.Do(t.Context(), refused, cwscene.RoutedRequest{Path: "/new/x"}).Status == http.StatusOK
		})
		is.True(time.Since(start) < 4*time.Second)
		is.Equal(s.Do(t.Context(), refused, cwscene.RoutedRequest{Path: "/old/x"}).Status, http.StatusNotFound)
	})
}

// TestConfigArrivesAfterLostStoreResponses publishes a change while the store does not respond.
// The instance must give up the watch whose response was lost and start a new one.
func TestConfigArrivesAfterLostStoreResponses(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("old", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.Store.SetHanging(true)
		s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
		time.Sleep(time.Second)
		s.Store.SetHanging(false)
		start := time.Now()
		s.Await(func() bool {
			return s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status == http.StatusOK
		})
		is.True(time.Since(start) < 6*time.Second) // after this time instances are in touch with the store again
	})
}

// TestStoreCompactionDuringOutage checks that an instance gets the current state from a store
// that has compacted the changes since the last contact. An endpoint that was removed
// meanwhile must not stay in use.
func TestStoreCompactionDuringOutage(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		s.Store.RefuseIf(func(string) bool { return true })
		time.Sleep(10 * time.Second)
		s.Store.Remove("servers/" + workers[0].ID)
		s.Publish(nil, cwscene.NewRoute("new", "unsafe", nil))
		s.Store.Compact()
		s.Store.RefuseIf(nil)
		s.Await(func() bool {
			return s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status == http.StatusOK
		})
		time.Sleep(5 * time.Second) // an endpoint whose entry is still missing 2.2 s after the store recovered is dropped
		before := len(workers[0].Runs())
		for range 10 {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/new/x"}).Status, http.StatusOK)
		}
		is.Equal(len(workers[0].Runs()), before)
	})
}

// TestEntriesExpiredDuringStoreOutageStayInUse checks that endpoints whose entries disappeared
// while the store was unreachable stay in use until they have had time to register again.
func TestEntriesExpiredDuringStoreOutageStayInUse(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		i, workers := startOneRegion(s, cwscene.NewRoute("r", "unsafe", nil))
		s.Store.RefuseIf(func(string) bool { return true })
		time.Sleep(10 * time.Second)
		for _, w := range workers {
			s.Store.Remove("servers/" + w.ID)
		}
		s.Store.RefuseIf(nil)
		s.Await(func() bool { return i.State.Revision() >= 5 }) // one configuration, two entries, two removals
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		time.Sleep(time.Second)
		s.RegisterWorker(workers[0].ID, "north-a", "10.1.1.1", nil) // one is registered again in time, the other is not
		time.Sleep(4 * time.Second)
		before := len(workers[1].Runs())
		for range 10 {
			is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
		}
		is.Equal(len(workers[1].Runs()), before)
	})
}

// TestRoutedLeavingEndpointGetsNoNewRequests checks that no new requests are sent to an endpoint
// whose published state does not allow its use any more.
func TestRoutedLeavingEndpointGetsNoNewRequests(t *testing.T) {
	for _, sc := range []struct {
		name         string
		startLeaving func(s *cwscene.RoutedScene, id string)
	}{
		{"endpoint reports draining", func(s *cwscene.RoutedScene, id string) {
			s.RegisterWorker(id, "north-a", "10.1.1.1", map[string]any{"state": "draining"})
		}},
		{"entry is removed", func(s *cwscene.RoutedScene, id string) { s.Store.Remove("servers/" + id) }},
		{"domain is evacuated", func(s *cwscene.RoutedScene, _ string) { s.Store.PutJSON("op/evacuate/north-a", map[string]any{}) }},
		{"entry becomes unreadable", func(s *cwscene.RoutedScene, id string) { s.Store.Put("servers/"+id, []byte("\xff{")) }},
		{"state is unknown", func(s *cwscene.RoutedScene, id string) {
			s.RegisterWorker(id, "north-a", "10.1.1.1", map[string]any{"state": "resting"})
		}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
				w := s.AddWorker("north-a", "10.1.1.1")
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
				sc.startLeaving(s, w.ID)
				time.Sleep(4 * time.Second)
				is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusServiceUnavailable)
				is.Equal(len(w.Runs()), 1)
			})
		})
	}
}

// TestDrainingIsNotReverted checks that a later entry of the same incarnation does not bring
// a draining endpoint back into use, while a new incarnation with the same identifier does.
func TestDrainingIsNotReverted(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		w := s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		s.RegisterWorker(w.ID, "north-a", "10.1.1.1", map[string]any{"state": "draining"})
		time.Sleep(2 * time.Second)
		s.RegisterWorker(w.ID, "north-a", "10.1.1.1", map[string]any{"sequence": 3})
		time.Sleep(2 * time.Second)
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusServiceUnavailable)
		s.RegisterWorker(w.ID, "north-a", "10.1.1.1", map[string]any{"born": 2})
		time.Sleep(2 * time.Second)
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
	})
}
