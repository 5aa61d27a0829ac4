package cwapp_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// lossPartInterval is the time between the events of these streams, which last longer than it takes
// to start the instances again.
const lossPartInterval = 4 * time.Second

// TestStreamsGoOnAfterLossOfAllInstances guards against streams that are all refused after a loss of
// all instances, although endpoints still run them and report that; and against streams of two
// versions, if what endpoints report is no proof.
func TestStreamsGoOnAfterLossOfAllInstances(t *testing.T) {
	for _, sc := range []struct {
		name string
		// mislead changes what the endpoints report while the instances are down.
		mislead func(f *versionedFleet, requestIDs []string)
		// isLost is set if the reports prove nothing.
		isLost bool
	}{
		{"runs in progress", func(*versionedFleet, []string) {}, false},
		{"endpoints of both versions run the same request", (*versionedFleet).reportEverywhere, true},
		{"reports of other incarnations than the entries name", (*versionedFleet).reportOtherStart, true},
		{"no event was made", (*versionedFleet).reportNoEvents, true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				f := newVersionedFleet(s, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "max-attempts": 1, "timeout-ms": 60000}))
				for w := range f.workers {
					w.SetPartInterval(lossPartInterval)
				}
				const streams = 24
				var wg sync.WaitGroup
				begun := make([]cwscene.RoutedResponse, streams)
				for n := range streams {
					wg.Go(func() {
						begun[n] = s.Do(t.Context(), f.instances()[n%6], cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader(), Timeout: time.Minute})
					})
				}
				time.Sleep(3 * lossPartInterval / 2) // two events
				for _, i := range f.instances() {
					s.Kill(i)
				}
				wg.Wait()
				var ids []string
				for _, b := range begun {
					ids = append(ids, b.RequestID)
				}
				for _, i := range f.instances() {
					i.Stop()
				}
				for _, i := range f.instances() {
					<-i.Done()
				}
				sc.mislead(f, ids)
				for k := range f.north {
					f.north[k] = f.restart(f.north[k], "north-a")
					f.south[k] = f.restart(f.south[k], "south-a")
				}
				time.Sleep(contactTime)
				for w := range f.workers {
					w.SetPartInterval(0)
				}
				goneOn, begunAnew := 0, 0
				for _, b := range begun {
					i := f.drawInstance(rand.New(rand.NewPCG(1, uint64(len(b.Body)))))
					resp := f.takeUp(t, i, b)
					is.Equal(len(f.versionsOf(b.RequestID, resp.RequestID)), 1)
					if resp.Status == http.StatusOK {
						goneOn++
					}
					if s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()}).Status == http.StatusOK {
						begunAnew++
					}
				}
				t.Logf("%d of %d went on, %d of %d new ones began", goneOn, streams, begunAnew, streams)
				is.True(sc.isLost || 2*goneOn >= begunAnew)
				is.True(!sc.isLost || goneOn == 0)
			})
		})
	}
}

// reportEverywhere makes all endpoints report the requests.
func (f *versionedFleet) reportEverywhere(requestIDs []string) {
	f.reportAll(requestIDs, 2)
}

// reportNoEvents makes no endpoint report an event.
func (f *versionedFleet) reportNoEvents(requestIDs []string) {
	for w := range f.workers {
		w.SetPartInterval(0)
	}
	time.Sleep(lossPartInterval) // the runs end
	f.reportAll(requestIDs, 0)
}

func (f *versionedFleet) reportAll(requestIDs []string, events int) {
	for w := range f.workers {
		for _, id := range requestIDs {
			w.SetReportedRun(id, events)
		}
	}
}

// reportOtherStart makes the endpoints report another start than their entries name.
func (f *versionedFleet) reportOtherStart([]string) {
	for w := range f.workers {
		w.SetBorn(2)
	}
}
