package cwapp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// cutRegions drops all traffic between the instances of the two regions, or restores it.
func cutRegions(s *cwscene.RoutedScene, isCut bool) {
	for a := range 6 {
		for b := range 6 {
			s.Net.SetPartitioned(fmt.Sprintf("10.1.0.%d", a+1), fmt.Sprintf("10.2.0.%d", b+1), isCut)
		}
	}
}

// TestBlockReachesAllInstances guards against instances that go on sending requests which end
// endpoints because they were cut off, restarted or started while others found out.
func TestBlockReachesAllInstances(t *testing.T) {
	for _, sc := range []struct {
		name string
		// disturb runs beside the requests, from their start. healedAfter is the time from which
		// all instances are in touch again.
		disturb     func(s *cwscene.RoutedScene, l *crashLoad, fleet *cwscene.CrashingFleet)
		healedAfter time.Duration
		perSecond   float64
	}{
		{"regions that were cut apart", func(s *cwscene.RoutedScene, _ *crashLoad, _ *cwscene.CrashingFleet) {
			cutRegions(s, true)
			time.Sleep(20 * time.Second)
			cutRegions(s, false)
		}, 20 * time.Second, 2},
		{"regions that were cut apart with an end or two each", func(s *cwscene.RoutedScene, _ *crashLoad, _ *cwscene.CrashingFleet) {
			cutRegions(s, true)
			time.Sleep(25 * time.Second)
			cutRegions(s, false)
		}, 25 * time.Second, 0.1},
		{"instances that restart", func(s *cwscene.RoutedScene, l *crashLoad, _ *cwscene.CrashingFleet) {
			// The first instance stays: it is the only seed.
			for n := range 3 {
				time.Sleep(5 * time.Second)
				l.restart(s, 2*n+2, "north-a")
				l.restart(s, 2*n+3, "south-a")
			}
		}, 0, 2},
		{"an instance that starts late", func(s *cwscene.RoutedScene, l *crashLoad, _ *cwscene.CrashingFleet) {
			time.Sleep(25 * time.Second)
			i := s.AddInstance("10.1.0.5", "north-a")
			s.Await(i.IsReady)
			l.setInstances([]*cwscene.RoutedInstance{i})
		}, 0, 2},
		{"endpoints that end together beside it", func(_ *cwscene.RoutedScene, _ *crashLoad, fleet *cwscene.CrashingFleet) {
			for range 6 {
				time.Sleep(1500 * time.Millisecond)
				for _, ip := range []string{"10.1.1.1", "10.1.1.2", "10.2.1.1"} {
					fleet.EndNow(ip)
				}
				time.Sleep(5 * time.Second)
			}
		}, 0, 2},
		{"configurations that change", func(s *cwscene.RoutedScene, l *crashLoad, _ *cwscene.CrashingFleet) {
			for n := range 40 {
				l.publish(s, cwscene.RoutedRoute{"timeout-ms": 5000 + n})
				time.Sleep(time.Second)
			}
		}, 0, 2},
	} {
		for _, kind := range spreadKinds {
			t.Run(sc.name+", "+kind.name, func(t *testing.T) {
				t.Parallel()
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					l, fleet := startCrashingRequests(s, &kind.crashingRequestKind, sc.perSecond)
					defer fleet.Close()
					start := time.Now()
					go sc.disturb(s, l, fleet)
					l.run(t, crashPhase, 0, crashPhase)
					ended := fleet.Ends()
					t.Logf("%d ends, statuses %v, sound requests served %.3f", len(ended), l.statuses, l.servedShare(start, time.Now()))
					from := start.Add(sc.healedAfter)
					if crashes := fleet.Crashes(); len(crashes) >= kind.ends && crashes[kind.ends-1].After(from) {
						from = crashes[kind.ends-1]
					}
					late := fleet.Arrivals(isCrashing, from.Add(crashContactTime))
					t.Logf("%d late arrivals", len(late))
					is.True(len(late) <= maxArrivalsAfterCrashes)
					is.Equal(l.blocked(), 0)
				})
			})
		}
	}
}

// spreadKinds are the requests of TestBlockReachesAllInstances, with the number of ends after
// which all instances must know them.
var spreadKinds = []struct {
	crashingRequestKind
	ends int
}{
	{crashingRequestKind{name: "a part of prompts", routeKind: "streaming", crashing: crashingPrompt, sound: soundPrompt}, 5},
	{crashingRequestKinds[0], 3},
	{crashingRequestKinds[4], 3},
}
