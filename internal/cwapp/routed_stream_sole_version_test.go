package cwapp_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// longService is the time for which the workers of these tests are there before the loss. The store no
// longer has the changes of before.
const longService = 2 * cwstandin.HistoryTime

// TestEndedStreamsGoOnAfterLossOfAllInstances guards against streams that are all refused after a loss of
// all instances, because their runs have ended and no instance remembers them, although the endpoints had
// one version throughout; and against streams of two versions where another one was or may have been there.
func TestEndedStreamsGoOnAfterLossOfAllInstances(t *testing.T) {
	for _, sc := range []struct {
		name string
		// before, whileDown and beforeTakeUp change the fleet before the streams begin, while all instances
		// are down, and before the streams are taken up.
		before, whileDown, beforeTakeUp func(f *versionedFleet)
		// isLost is set if nothing tells the version.
		isLost bool
	}{
		{name: "one version"},
		{name: "another endpoint of the version joins", whileDown: func(f *versionedFleet) { f.addWorker("south-a", "10.2.1.9", "v1") }},
		{name: "another version joins", whileDown: func(f *versionedFleet) { f.addWorker("south-a", "10.2.1.9", "v2") }, isLost: true},
		{name: "a version comes and goes", before: func(f *versionedFleet) {
			f.addWorker("south-a", "10.2.1.9", "v2")
			f.Store.Remove(cwstandin.WorkerKeyPrefix + "worker-10.2.1.9")
		}, isLost: true},
		{name: "an endpoint goes of which only the entry told the version", whileDown: func(f *versionedFleet) {
			f.Store.Remove(cwstandin.WorkerKeyPrefix + "worker-10.1.1.1")
		}, isLost: true},
		{name: "the configuration changes", before: func(f *versionedFleet) { f.RepublishConfig() }, isLost: true},
		{name: "the store is away", beforeTakeUp: func(f *versionedFleet) { f.Store.RefuseIf(func(string) bool { return true }) }, isLost: true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				f := newFleetOf(s, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "timeout-ms": 12000}), "v1", "v1", "v1", "v1", "v1", "v1")
				time.Sleep(longService)
				if sc.before != nil {
					sc.before(f)
					time.Sleep(time.Second)
				}
				const streams = 24
				begun := make([]cwscene.RoutedResponse, streams)
				f.setFault(cwstandin.FaultTruncateStream)
				for n := range streams {
					begun[n] = s.Do(t.Context(), f.instances()[n%6], cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: 12 * time.Second})
				}
				f.setFault(cwstandin.FaultNone)
				for _, i := range f.instances() {
					s.Kill(i)
				}
				if sc.whileDown != nil {
					sc.whileDown(f)
				}
				for k := range f.north {
					f.north[k] = f.restart(f.north[k], "north-a")
					f.south[k] = f.restart(f.south[k], "south-a")
				}
				time.Sleep(contactTime)
				if sc.beforeTakeUp != nil {
					sc.beforeTakeUp(f)
				}
				goneOn, begunAnew := f.takeUpAndBegin(t, begun)
				t.Logf("%d of %d went on, %d of %d new ones began", goneOn, streams, begunAnew, streams)
				is.Equal(begunAnew, streams)
				is.True(sc.isLost || 2*goneOn >= begunAnew)
				is.True(!sc.isLost || goneOn == 0)
			})
		})
	}
}

// TestFirstEndpointOfAnotherVersionIsDoubted guards against streams of two versions when the first endpoint
// of another version has restarted under its identifier and its entry does not name the version yet: the
// instance that began a stream there doubts its origin, and another one must not take the version of the
// entries for the only one.
func TestFirstEndpointOfAnotherVersionIsDoubted(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				f := newFleetOf(s, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}), "v1", "v1", "v1", "v1", "v1", "v1")
				time.Sleep(longService)
				rng := rand.New(rand.NewPCG(seed, 0))
				f.restartWorkerUnderLoad(rng, 0)
				const streams = 40
				ofOther := 0
				for range streams {
					first, second := f.drawInstance(rng), f.drawInstance(rng)
					b := f.begin(t, first)
					if f.versionsOf(b.RequestID)["v2"] {
						ofOther++
					}
					resp := f.takeUp(t, second, b)
					is.True(len(f.versionsOf(b.RequestID, resp.RequestID)) <= 1)
					time.Sleep(entryDelay / streams)
				}
				is.True(ofOther > 0)
			})
		})
	}
}

// takeUpAndBegin takes all streams up at once, each at another instance than the next one, and begins as
// many new ones. It returns how many went on and began.
func (f *versionedFleet) takeUpAndBegin(t *testing.T, begun []cwscene.RoutedResponse) (goneOn, begunAnew int) {
	var wg sync.WaitGroup
	takenUp, anew := make([]cwscene.RoutedResponse, len(begun)), make([]cwscene.RoutedResponse, len(begun))
	for n := range begun {
		i := f.instances()[n%len(f.instances())]
		wg.Go(func() { takenUp[n] = f.takeUp(t, i, begun[n]) })
		wg.Go(func() {
			anew[n] = f.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		})
	}
	wg.Wait()
	for n := range begun {
		if takenUp[n].Status == http.StatusOK {
			goneOn++
		}
		if anew[n].Status == http.StatusOK {
			begunAnew++
		}
	}
	return goneOn, begunAnew
}
