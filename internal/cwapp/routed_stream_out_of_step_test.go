package cwapp_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

const (
	// outOfStepTime is how long an instance is out of step with the others. It must have found them
	// again after contactTime. outOfStepDeadline is the callers' deadline.
	outOfStepTime     = 4 * time.Second
	outOfStepDeadline = 20 * time.Second
	// outOfStepDelay is the one-way delay to the others and the store: callers are served before all
	// changes have arrived.
	outOfStepDelay = 5 * time.Millisecond
)

// TestStreamsOfJoiningVersionAtInstanceOutOfStep guards against streams of two versions at an
// instance that is cut off from the others, or stands still, while endpoints of another version
// join: it does not know these, nor the streams that began there through other instances.
func TestStreamsOfJoiningVersionAtInstanceOutOfStep(t *testing.T) {
	for _, sc := range []struct {
		name string
		// hosts are those from which the instance is cut off; it stands still if there are none.
		hosts func(f *versionedFleet) []string
		// join adds the endpoints of v3 while the instance is out of step.
		join func(f *versionedFleet)
	}{
		{"cut off from the others", (*versionedFleet).otherInstances, (*versionedFleet).addNewVersion},
		{"cut off from the others and the store", (*versionedFleet).otherInstancesAndStore, (*versionedFleet).addNewVersion},
		{"stands still", nil, (*versionedFleet).addNewVersion},
		{"cut off from the others, identifiers are used again", (*versionedFleet).otherInstances, (*versionedFleet).restartAtNewVersion},
		{"cut off from the others and the store, identifiers are used again", (*versionedFleet).otherInstancesAndStore, (*versionedFleet).restartAtNewVersion},
		{"stands still, identifiers are used again", nil, (*versionedFleet).restartAtNewVersion},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				f := newVersionedFleet(s, cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true, "max-attempts": 1, "timeout-ms": 20000}))
				outOfStep, start := f.north[0], time.Now()
				for _, ip := range f.otherInstancesAndStore() {
					s.Net.SetDelay(outOfStep.IP, ip, outOfStepDelay)
				}
				setOutOfStep := func(isOut bool) {
					switch {
					case sc.hosts != nil:
						for _, ip := range sc.hosts(f) {
							s.Net.SetPartitioned(outOfStep.IP, ip, isOut)
						}
					case isOut:
						s.Net.SilenceHost(outOfStep.IP, true)
					default:
						s.Net.EndSilence(outOfStep.IP)
					}
				}
				setOutOfStep(true)
				sc.join(f)
				time.Sleep(time.Second)
				var begun []cwscene.RoutedResponse
				for n := range 24 {
					begun = append(begun, f.beginWithin(t, f.north[1+n%2], outOfStepDeadline))
				}
				results := make(map[string]int)
				takeUp := func(when string) {
					for n, resp := range f.takeUpAll(t, outOfStep, begun) {
						is.Equal(len(f.versionsOf(begun[n].RequestID, resp.RequestID)), 1) // one version
						results[fmt.Sprint(when, ": ", resp.Status, " ", reasonOf(resp))]++
					}
				}
				if sc.hosts != nil {
					takeUp("out of step")
				}
				time.Sleep(time.Until(start.Add(outOfStepTime)))
				setOutOfStep(false)
				takeUp("at once")
				time.Sleep(contactTime)
				takeUp("back")
				t.Log(results)
				is.True(f.countBegunAt("v3", begun) >= 4) // otherwise the case is not reached
				is.True(results[fmt.Sprint("back: ", http.StatusOK, " ")] >= len(begun)/2)
			})
		})
	}
}

func (f *versionedFleet) otherInstances() []string {
	var hosts []string
	for _, i := range f.instances()[1:] {
		hosts = append(hosts, i.IP)
	}
	return hosts
}

func (f *versionedFleet) otherInstancesAndStore() []string {
	return append(f.otherInstances(), cwscene.StoreIP)
}

// addNewVersion adds endpoints of v3 to the north.
func (f *versionedFleet) addNewVersion() {
	for n := range 4 {
		f.addWorker("north-a", fmt.Sprintf("10.1.2.%d", n+1), "v3")
	}
}

// restartAtNewVersion restarts the endpoints of v2 in the north as v3 under their identifiers.
func (f *versionedFleet) restartAtNewVersion() {
	for w, version := range f.workers {
		if version == "v2" && f.domainOf(w) == "north-a" {
			f.restartAt(w, "v3", time.Second)
		}
	}
}

// countBegunAt returns the number of streams that a version began.
func (f *versionedFleet) countBegunAt(version string, begun []cwscene.RoutedResponse) int {
	n := 0
	for _, b := range begun {
		if f.versionsOf(b.RequestID)[version] {
			n++
		}
	}
	return n
}

// takeUpAll takes the streams up at the same time.
func (f *versionedFleet) takeUpAll(t *testing.T, i *cwscene.RoutedInstance, begun []cwscene.RoutedResponse) []cwscene.RoutedResponse {
	responses := make([]cwscene.RoutedResponse, len(begun))
	var wg sync.WaitGroup
	for n, b := range begun {
		wg.Go(func() { responses[n] = f.takeUp(t, i, b) })
	}
	wg.Wait()
	return responses
}
