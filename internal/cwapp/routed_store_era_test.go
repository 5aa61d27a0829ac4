package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// storeRewriteDelay is the time after which the operator and the workers have written
	// again what a restored store has lost.
	storeRewriteDelay = 1500 * time.Millisecond
	// configApplyLimit is the time within which all instances apply a change.
	configApplyLimit = 4 * time.Second
)

// restoreScene is a scene with two regions, whose store is restored from a copy.
type restoreScene struct {
	*cwscene.RoutedScene
	t         *testing.T
	is        *is.I
	instances []*cwscene.RoutedInstance
}

func inRestoreScene(t *testing.T, run func(s *restoreScene)) {
	t.Helper()
	inRoutedScene(t, func(t *testing.T, is *is.I, scene *cwscene.RoutedScene) {
		s := &restoreScene{RoutedScene: scene, t: t, is: is}
		s.publishVersion()
		for n, domain := range []string{"north-a", "north-a", "north-a", "north-a", "south-a"} {
			s.instances = append(s.instances, s.AddInstance(fmt.Sprintf("10.%d.0.%d", n/4+1, n%4+1), domain))
		}
		run(s)
	})
}

// publishVersion publishes the next configuration, with a route named after its version.
func (s *restoreScene) publishVersion() {
	s.Publish(nil, cwscene.NewRoute("r", "safe", nil), cwscene.NewRoute(fmt.Sprint("v", s.ConfigVersion()+1), "safe", nil))
}

// outage makes the store refuse all calls for a second, and then come back from the copy.
func (s *restoreScene) outage(c *cwstandin.StoreCopy) {
	s.Store.RefuseIf(func(string) bool { return true })
	time.Sleep(time.Second)
	s.Store.Restore(c)
	s.Store.RefuseIf(nil)
}

// isServed reports whether an instance serves the route of a configuration version.
func (s *restoreScene) isServed(i *cwscene.RoutedInstance, version int) bool {
	return s.Do(s.t.Context(), i, cwscene.RoutedRequest{Path: fmt.Sprintf("/v%d/x", version)}).Status == http.StatusOK
}

// TestStateAfterStoreIsRestored guards against instances that keep what a restored store no
// longer has, refuse what is written again under lower revisions, or go back to the
// configuration of the copy.
func TestStateAfterStoreIsRestored(t *testing.T) {
	for _, test := range []struct {
		name string
		// writesBefore are written after the copy and lost. If there are fewer than are written
		// again, revisions that the instances know are given out again for other items.
		writesBefore int
		restores     int
	}{
		{name: "revisions go back", writesBefore: 30, restores: 1},
		{name: "revisions are given out again", writesBefore: 0, restores: 1},
		{name: "twice in a row", writesBefore: 10, restores: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			inRestoreScene(t, func(s *restoreScene) {
				s.AddWorker("north-a", "10.1.1.1")
				removed := s.AddWorker("north-a", "10.1.1.2")
				s.AwaitReady()
				s.isServed(s.instances[0], 1)
				time.Sleep(2 * time.Second)
				for range test.restores {
					copied := s.Store.Copy()
					s.publishVersion()
					added := s.AddWorker("north-a", fmt.Sprintf("10.1.1.%d", 10+s.ConfigVersion()))
					s.Store.Remove(cwstandin.WorkerKeyPrefix + removed.ID)
					for n := range test.writesBefore {
						s.RegisterWorker("unused", "south-a", "10.2.1.1", map[string]any{"sequence": n, "state": "draining"})
					}
					time.Sleep(configApplyLimit)
					version, arrivals := s.ConfigVersion(), len(removed.Arrivals())
					s.outage(copied)
					for range 15 {
						for _, i := range s.instances {
							s.is.True(s.isServed(i, version)) // no revert
						}
						time.Sleep(storeRewriteDelay / 15)
					}
					s.RepublishConfig()
					s.RegisterWorker(added.ID, "north-a", fmt.Sprintf("10.1.1.%d", 10+version), nil)
					s.Store.Remove(cwstandin.WorkerKeyPrefix + removed.ID)
					time.Sleep(configApplyLimit)
					s.is.Equal(len(removed.Arrivals()), arrivals) // all instances knew that it was removed
				}
				s.publishVersion()
				time.Sleep(configApplyLimit)
				last := s.AddWorker("south-a", "10.2.1.9")
				time.Sleep(configApplyLimit)
				for _, i := range s.instances {
					s.is.True(s.isServed(i, s.ConfigVersion()))
					s.is.True(i.State.View().Endpoints[removed.ID].ID == "")
					s.is.Equal(i.State.View().Endpoints[last.ID].ID, last.ID)
				}
			})
		})
	}
}

// setPartitioned cuts all instances off from each other, or ends that.
func (s *restoreScene) setPartitioned(isPartitioned bool) {
	for n, a := range s.instances {
		for _, b := range s.instances[:n] {
			s.Net.SetPartitioned(a.IP, b.IP, isPartitioned)
		}
	}
}

// TestLostConfigurationIsInForceEverywhere guards against instances that disagree about the configuration after
// the store has lost it: those that had read it keep it, and all others serve the one of before, since both
// are at the same revision.
func TestLostConfigurationIsInForceEverywhere(t *testing.T) {
	for known := 1; known <= 4; known++ {
		t.Run(fmt.Sprintf("%d of 5 had read it", known), func(t *testing.T) {
			inRestoreScene(t, func(s *restoreScene) {
				s.AddWorker("north-a", "10.1.1.1")
				s.AwaitReady()
				time.Sleep(configApplyLimit)
				storeCopy := s.Store.Copy()
				s.setPartitioned(true)
				s.Store.HangIf(func(remote string) bool {
					return !slices.ContainsFunc(s.instances[:known], func(i *cwscene.RoutedInstance) bool { return strings.HasPrefix(remote, i.IP+":") })
				})
				s.publishVersion()
				hasRead := func(i *cwscene.RoutedInstance) bool {
					return i.State.View().Config.Version == uint64(s.ConfigVersion())
				}
				for _, i := range s.instances[:known] {
					s.Await(func() bool { return hasRead(i) })
				}
				s.Store.Restore(storeCopy)
				s.Store.HangIf(nil)
				time.Sleep(configApplyLimit) // each instance reads the store by itself
				s.setPartitioned(false)
				time.Sleep(configApplyLimit)
				for _, i := range s.instances {
					s.is.True(s.isServed(i, s.ConfigVersion()))
				}
				// One that starts now gets it from the others.
				started := s.AddInstance("10.2.0.9", "south-a")
				time.Sleep(configApplyLimit)
				s.is.True(s.isServed(started, s.ConfigVersion()))
				// What the operator writes is in force as always.
				s.publishVersion()
				time.Sleep(configApplyLimit)
				for _, i := range append(s.instances, started) {
					s.is.True(s.isServed(i, s.ConfigVersion()))
					s.is.Equal(i.State.Position().KeptConfig, uint64(0))
				}
			})
		})
	}
}
