package cwapp_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// crashContactTime is the time in which instances that reach each other must have told
	// each other what ends endpoints.
	crashContactTime = 6 * time.Second
	// crashPhase is how long the requests come that end endpoints.
	crashPhase = 50 * time.Second
	// maxArrivalsAfterCrashes is the largest number of such requests that may reach endpoints
	// after that.
	maxArrivalsAfterCrashes = 3
	// soundInterval is the time between two sound requests.
	soundInterval = 100 * time.Millisecond
	// crashingPart is the part of prompts that ends endpoints.
	crashingPart = "bad0"
)

// crashLoad sends sound requests and some that end endpoints, each to any of the instances.
type crashLoad struct {
	scene *cwscene.RoutedScene
	// instances may be changed by setInstances during the load.
	instances []*cwscene.RoutedInstance
	// sound and crashing return the n-th request of each kind.
	sound, crashing func(n int) cwscene.RoutedRequest
	// crashInterval is the time between two requests that end endpoints.
	crashInterval time.Duration
	// routeKind is the kind of the route.
	routeKind string

	mu sync.Mutex
	// outcomes are those of the sound requests.
	outcomes []soundOutcome
	// statuses are those of the crashing requests.
	statuses map[int]int
}

type soundOutcome struct {
	sentAt   time.Time
	isServed bool
	// isBlocked is set if the request was refused because such requests end endpoints.
	isBlocked bool
}

// run sends sound requests for the time, and crashing ones from crashFrom to crashUntil of it.
func (l *crashLoad) run(t *testing.T, total, crashFrom, crashUntil time.Duration) {
	var wg sync.WaitGroup
	start := time.Now()
	l.statuses = make(map[int]int)
	wg.Go(func() {
		time.Sleep(crashFrom)
		for n := 0; time.Since(start) < crashUntil; n++ {
			wg.Go(func() {
				r := l.scene.Do(t.Context(), l.instance(5*n), l.crashing(n))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.statuses[r.Status]++
			})
			time.Sleep(l.crashInterval)
		}
	})
	for n := 0; time.Since(start) < total; n++ {
		sentAt := time.Now()
		wg.Go(func() {
			request := l.sound(n)
			r := l.scene.Do(t.Context(), l.instance(3*n), request)
			isServed := r.Err == nil && r.Status == http.StatusOK && (!isStream(request) || strings.HasSuffix(r.Body, "id: 6\ndata: piece 6\n\n"))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.outcomes = append(l.outcomes, soundOutcome{sentAt, isServed, strings.HasPrefix(r.Body, "endsEndpoints")})
		})
		time.Sleep(soundInterval)
	}
	wg.Wait()
}

// instance returns the instance at the position, counted round.
func (l *crashLoad) instance(n int) *cwscene.RoutedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances[n%len(l.instances)]
}

// setInstances replaces the instances that get further requests.
func (l *crashLoad) setInstances(instances []*cwscene.RoutedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

// restart kills the n-th instance and starts another one in the domain, which gets requests in
// its place as soon as it is ready.
func (l *crashLoad) restart(s *cwscene.RoutedScene, n int, domain string) {
	old := l.instance(n)
	others := slices.Delete(slices.Clone(l.instances), n, n+1)
	l.setInstances(others)
	s.Kill(old)
	i := s.AddInstance(old.IP[:len(old.IP)-1]+fmt.Sprint(5+n/2), domain)
	s.Await(i.IsReady)
	l.setInstances(slices.Insert(slices.Clone(others), n, i))
}

// blocked returns the number of sound requests that were refused because such requests end
// endpoints.
func (l *crashLoad) blocked() int {
	blocked := 0
	for _, o := range l.outcomes {
		if o.isBlocked {
			blocked++
		}
	}
	return blocked
}

// servedShare returns the part of the sound requests sent within the times that were served.
func (l *crashLoad) servedShare(from, until time.Time) float64 {
	served, all := 0, 0
	for _, o := range l.outcomes {
		if o.sentAt.Before(from) || !o.sentAt.Before(until) {
			continue
		}
		all++
		if o.isServed {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// newCrashFleetScene starts 10 endpoints and 8 instances in two regions.
func newCrashFleetScene(s *cwscene.RoutedScene, crash cwstandin.Crash) (*cwscene.CrashingFleet, []*cwscene.RoutedInstance) {
	fleet := s.NewCrashingFleet(crash)
	fleet.ServiceTime, fleet.PartInterval = 50*time.Millisecond, 50*time.Millisecond
	var instances []*cwscene.RoutedInstance
	for n := range 5 {
		fleet.Add(fmt.Sprintf("10.1.1.%d", n+1))
		fleet.Add(fmt.Sprintf("10.2.1.%d", n+1))
	}
	for n := range 4 {
		instances = append(instances, s.AddInstance(fmt.Sprintf("10.1.0.%d", n+1), "north-a"), s.AddInstance(fmt.Sprintf("10.2.0.%d", n+1), "south-a"))
	}
	for _, north := range instances {
		for _, south := range instances {
			if strings.HasPrefix(north.IP, "10.1.") && strings.HasPrefix(south.IP, "10.2.") {
				s.Net.SetDelay(north.IP, south.IP, 40*time.Millisecond)
			}
		}
	}
	s.AwaitReady()
	time.Sleep(10 * time.Second)
	return fleet, instances
}

// newCrashEngineService returns the engine service of the scenes.
func newCrashEngineService() []map[string]any {
	service := cwscene.NewEngineService(4)
	service[0]["engine"].(map[string]any)["slots"] = 8
	service[0]["cold-s"] = 2
	return service
}

// promptHeader returns the header of a request whose prompt has the parts.
func promptHeader(parts ...string) []string {
	var entries []string
	for _, p := range parts {
		entries = append(entries, p+":300")
	}
	return []string{
		"Clementinewell-Model", "m", "Clementinewell-Token-Count", fmt.Sprintf("%d,60", 300*len(parts)),
		"Clementinewell-Prompt-Prefix", strings.Join(entries, ","),
	}
}

// soundPrompt returns a request with the first part of all, one of a few others and its own.
func soundPrompt(n int) cwscene.RoutedRequest {
	return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/%d", n), Header: promptHeader("f1", fmt.Sprintf("d%d", n%7), fmt.Sprintf("a%d", n))}
}

// crashingPrompt returns a request with the same parts as sound ones and the crashing part.
func crashingPrompt(n int) cwscene.RoutedRequest {
	return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/c%d", n), Header: promptHeader("f1", fmt.Sprintf("d%d", n%7), crashingPart, fmt.Sprintf("c%d", n))}
}

// isCrashingPrompt reports whether a request has the crashing part.
func isCrashingPrompt(h http.Header, _ string) bool {
	return strings.Contains(h.Get("Clementinewell-Prompt-Prefix"), crashingPart+":")
}

// checkCrashesEnd checks the arrivals of crashing requests after the given number of ends, or the
// last one if there are fewer, and the sound requests of the rest of the crash phase.
func checkCrashesEnd(t *testing.T, is *is.I, l *crashLoad, fleet *cwscene.CrashingFleet, matches func(http.Header, string) bool, ends int, start time.Time) {
	t.Helper()
	ended := fleet.Ends()
	t.Logf("%d endpoints ended, statuses of the crashing requests %v, sound requests served %.3f", len(ended), l.statuses, l.servedShare(start, start.Add(crashPhase)))
	before := l.servedShare(start.Add(-10*time.Second), start)
	is.True(len(ended) > 0)
	ends = min(ends, len(ended))
	late := fleet.Arrivals(matches, ended[ends-1].Add(crashContactTime))
	soundAfter := l.servedShare(ended[ends-1].Add(2*crashContactTime), start.Add(crashPhase))
	t.Logf("%d arrivals more than %v after end %d (at %v); sound requests served %.3f before, %.3f from twice that on", len(late), crashContactTime, ends, ended[ends-1].Sub(start), before, soundAfter)
	is.True(len(late) <= maxArrivalsAfterCrashes)
	is.True(soundAfter >= 0.95*before)
}

// TestPromptPartThatCrashesEndpointsIsBlocked guards against one part of prompts that ends one
// endpoint after the other, because nothing remembers under which requests endpoints ended.
func TestPromptPartThatCrashesEndpointsIsBlocked(t *testing.T) {
	for _, prelude := range []struct {
		name string
		kind cwstandin.CrashPrelude
	}{
		{"before the first event", cwstandin.PreludeHead},
		{"after an event", cwstandin.PreludeEvent},
		{"in a stream without length", cwstandin.PreludeUndelimited},
	} {
		for _, perSecond := range []float64{0.5, 1, 2, 4} {
			t.Run(fmt.Sprintf("%s, %v a second", prelude.name, perSecond), func(t *testing.T) {
				t.Parallel()
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					s.Publish(newCrashEngineService(), cwscene.NewRoute("r", "streaming", cwscene.RoutedRoute{"resumable": true}))
					fleet, instances := newCrashFleetScene(s, cwstandin.Crash{
						Matches: func(r *http.Request, body string) bool { return isCrashingPrompt(r.Header, body) },
						After:   120 * time.Millisecond, Prelude: prelude.kind,
					})
					defer fleet.Close()
					l := &crashLoad{scene: s, instances: instances, sound: soundPrompt, crashing: crashingPrompt, crashInterval: time.Duration(float64(time.Second) / perSecond)}
					start := time.Now().Add(10 * time.Second)
					l.run(t, 10*time.Second+crashPhase, 10*time.Second, 10*time.Second+crashPhase)
					checkCrashesEnd(t, is, l, fleet, isCrashingPrompt, 5, start)
				})
			})
		}
	}
}

// isStream reports whether a request is for a stream.
func isStream(r cwscene.RoutedRequest) bool {
	return slices.Contains(r.Header, "Clementinewell-Token-Count")
}
