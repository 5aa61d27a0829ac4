package cwapp_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestSoundRequestsAreNotBlamed guards against sound requests that are blocked because their
// endpoints end, or seem to, for other reasons.
func TestSoundRequestsAreNotBlamed(t *testing.T) {
	for _, sc := range []struct {
		name string
		// disturb harms endpoints of the scene for some 50 s.
		disturb func(s *cwscene.RoutedScene, fleet *cwscene.CrashingFleet)
	}{
		{"several endpoints end together", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for range 8 {
				for _, ip := range []string{"10.1.1.1", "10.1.1.2", "10.1.1.3", "10.2.1.1"} {
					fleet.EndNow(ip)
				}
				time.Sleep(6 * time.Second)
			}
		}},
		{"all endpoints end together", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for range 6 {
				for n := range 5 {
					fleet.EndNow(fmt.Sprintf("10.1.1.%d", n+1))
					fleet.EndNow(fmt.Sprintf("10.2.1.%d", n+1))
				}
				time.Sleep(8 * time.Second)
			}
		}},
		{"all endpoints end one after the other", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for range 6 {
				for n := range 5 {
					fleet.EndNow(fmt.Sprintf("10.1.1.%d", n+1))
					time.Sleep(200 * time.Millisecond)
					fleet.EndNow(fmt.Sprintf("10.2.1.%d", n+1))
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(6 * time.Second)
			}
		}},
		{"an endpoint ends again and again", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for range 10 {
				fleet.EndNow("10.1.1.1")
				time.Sleep(5 * time.Second)
			}
		}},
		{"endpoints break off responses and live on", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for n := range 25 {
				fleet.Running(fmt.Sprintf("10.%d.1.%d", n%2+1, n%5+1)).QueueFaults(cwstandin.FaultTruncateStream, cwstandin.FaultLoseResponse, cwstandin.FaultTruncateStream)
				time.Sleep(2 * time.Second)
			}
		}},
		{"connections are reset", func(s *cwscene.RoutedScene, _ *cwscene.CrashingFleet) {
			for n := range 50 {
				s.Net.ResetConns(fmt.Sprintf("10.%d.1.%d", n%2+1, n%5+1))
				time.Sleep(time.Second)
			}
		}},
		{"endpoints are silent", func(s *cwscene.RoutedScene, _ *cwscene.CrashingFleet) {
			for n := range 16 {
				ip := fmt.Sprintf("10.%d.1.%d", n%2+1, n%5+1)
				s.Net.SilenceHost(ip, n%3 == 0)
				time.Sleep(3 * time.Second)
				s.Net.EndSilence(ip)
			}
		}},
		{"endpoints leave and come back", func(_ *cwscene.RoutedScene, fleet *cwscene.CrashingFleet) {
			for n := range 25 {
				fleet.Drain(fmt.Sprintf("10.%d.1.%d", n%2+1, n%5+1), 500*time.Millisecond)
				time.Sleep(2 * time.Second)
			}
		}},
	} {
		for _, sound := range soundKinds {
			t.Run(sc.name+", "+sound.name, func(t *testing.T) {
				t.Parallel()
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(newCrashEngineService(), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
					fleet, instances := newCrashFleetScene(s, cwstandin.Crash{Matches: func(*http.Request, string) bool { return false }})
					defer fleet.Close()
					l := &crashLoad{scene: s, instances: instances, sound: sound.request, crashing: sound.request, crashInterval: 100 * time.Millisecond}
					go func() {
						time.Sleep(5 * time.Second)
						sc.disturb(s, fleet)
					}()
					l.run(t, 60*time.Second, 0, 60*time.Second)
					t.Logf("%d ends, %.3f served, %d refused as the cause", len(fleet.Ends()), l.servedShare(time.Time{}, time.Now()), l.blocked())
					is.Equal(l.blocked(), 0)
				})
			})
		}
	}
}

// soundKinds are requests that share parts of their prompts in different ways.
var soundKinds = []struct {
	name    string
	request func(n int) cwscene.RoutedRequest
}{
	{"few documents", soundPrompt},
	{"the same request each time", func(int) cwscene.RoutedRequest {
		return cwscene.RoutedRequest{Path: "/r/poll", Body: "same", Header: promptHeader("f1", "d1", "a1")}
	}},
	{"few requests that come again", func(n int) cwscene.RoutedRequest {
		return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/%d", n%20), Header: promptHeader("f1", fmt.Sprintf("d%d", n%5), fmt.Sprintf("a%d", n%20))}
	}},
	{"new documents", func(n int) cwscene.RoutedRequest {
		return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/%d", n), Header: promptHeader("f1", fmt.Sprintf("d%d", n/6), fmt.Sprintf("a%d", n))}
	}},
}
