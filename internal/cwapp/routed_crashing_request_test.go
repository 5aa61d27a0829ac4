package cwapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// crashingRequestKind is a request that ends each endpoint which runs it, and sound ones beside.
type crashingRequestKind struct {
	name, routeKind string
	// crashing and sound return the n-th request of each kind.
	crashing, sound func(n int) cwscene.RoutedRequest
}

// crashingKey marks the requests that end endpoints. The instances don't know it.
const crashingKey = "crashes"

// isCrashingRequest reports whether a request is the one that ends endpoints.
func isCrashingRequest(h http.Header, body string) bool {
	return h.Get("X-Caller") == crashingKey || strings.HasPrefix(body, crashingKey)
}

var crashingRequestKinds = []crashingRequestKind{
	{
		name: "a safe request without a body that sound callers send too", routeKind: "safe",
		crashing: func(int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Method: http.MethodGet, Path: "/r/list?page=1", Header: []string{"X-Caller", crashingKey}}
		},
		sound: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Method: http.MethodGet, Path: "/r/list?page=1", Header: []string{"X-Caller", fmt.Sprintf("caller-%d", n%100)}}
		},
	},
	{
		name: "a safe request with a body", routeKind: "safe",
		crashing: func(int) cwscene.RoutedRequest { return cwscene.RoutedRequest{Path: "/r/x", Body: crashingKey} },
		sound: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: "/r/x", Body: fmt.Sprintf("body %d", n)}
		},
	},
	{
		name: "a safe request whose body has no length", routeKind: "safe",
		crashing: func(int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: "/r/x", BodyReader: strings.NewReader(crashingKey)}
		},
		sound: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: "/r/x", BodyReader: strings.NewReader(fmt.Sprintf("body %d", n))}
		},
	},
	{
		name: "a safe request with another query each time", routeKind: "safe",
		crashing: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/x?try=%d", n), Body: crashingKey}
		},
		sound: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: fmt.Sprintf("/r/x?try=%d", n), Body: fmt.Sprintf("body %d", n)}
		},
	},
	{
		name: "an unsafe request", routeKind: "unsafe",
		crashing: func(int) cwscene.RoutedRequest { return cwscene.RoutedRequest{Path: "/r/x", Body: crashingKey} },
		sound: func(n int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: "/r/x", Body: fmt.Sprintf("body %d", n)}
		},
	},
	{
		name: "a prompt", routeKind: "streaming",
		crashing: func(int) cwscene.RoutedRequest {
			return cwscene.RoutedRequest{Path: "/r/x", Body: crashingKey, Header: promptHeader("f1", "d1", "c1")}
		},
		sound: soundPrompt,
	},
}

// TestAnswerOfEndedEndpointIsNotComplete guards against the half of an answer that is passed on as a
// success: without a length it ends with its connection, and so it does when the endpoint ends.
func TestAnswerOfEndedEndpointIsNotComplete(t *testing.T) {
	for _, routeKind := range []string{"safe", "unsafe"} {
		t.Run(routeKind, func(t *testing.T) {
			t.Parallel()
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				kind := crashingRequestKind{routeKind: routeKind, crashing: crashingRequestKinds[1].crashing, sound: crashingRequestKinds[1].sound}
				l, fleet := startCrashingRequests(s, &kind, 2)
				defer fleet.Close()
				fleet.SetPrelude(cwstandin.PreludeUndelimited)
				l.run(t, 20*time.Second, 0, 20*time.Second)
				t.Logf("%d ends, statuses %v", len(fleet.Ends()), l.statuses)
				is.Equal(l.statuses[http.StatusOK], 0)
				is.True(len(fleet.Ends()) <= 5)
				is.Equal(l.blocked(), 0)
			})
		})
	}
}

// startCrashingRequests starts the scene of a kind of request.
func startCrashingRequests(s *cwscene.RoutedScene, kind *crashingRequestKind, perSecond float64) (*crashLoad, *cwscene.CrashingFleet) {
	l := &crashLoad{scene: s, routeKind: kind.routeKind, sound: kind.sound, crashing: kind.crashing, crashInterval: time.Duration(float64(time.Second) / perSecond)}
	l.publish(s, nil)
	var fleet *cwscene.CrashingFleet
	fleet, l.instances = newCrashFleetScene(s, cwstandin.Crash{
		Matches: func(r *http.Request, body string) bool { return isCrashing(r.Header, body) },
		After:   120 * time.Millisecond,
	})
	return l, fleet
}

// publish writes the next configuration of the scene to the store. overrides replaces or adds
// fields of its route.
func (l *crashLoad) publish(s *cwscene.RoutedScene, overrides cwscene.RoutedRoute) {
	services := []map[string]any{cwstandin.NewPublishedPlainService("app")}
	if l.routeKind == "streaming" {
		services = newCrashEngineService()
	}
	services[0]["cold-s"], services[0]["cold-per-s"] = 2, 4
	route := cwscene.NewRoute("r", l.routeKind, overrides)
	route["resumable"] = l.routeKind == "streaming"
	s.Publish(services, route)
}

// isCrashing reports whether a request ends endpoints, as a whole or by a part of its prompt.
func isCrashing(h http.Header, body string) bool {
	return isCrashingRequest(h, body) || isCrashingPrompt(h, body)
}

// TestRequestThatCrashesEndpointsIsBlocked guards against a request that comes again and ends one
// endpoint after the other, because nothing remembers under which requests endpoints ended.
func TestRequestThatCrashesEndpointsIsBlocked(t *testing.T) {
	for _, kind := range crashingRequestKinds {
		for _, perSecond := range []float64{0.5, 1, 2, 4} {
			t.Run(fmt.Sprintf("%s, %v a second", kind.name, perSecond), func(t *testing.T) {
				t.Parallel()
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					l, fleet := startCrashingRequests(s, &kind, perSecond)
					defer fleet.Close()
					start := time.Now().Add(10 * time.Second)
					l.run(t, 10*time.Second+crashPhase, 10*time.Second, 10*time.Second+crashPhase)
					checkCrashesEnd(t, is, l, fleet, isCrashingRequest, 3, start)
					is.Equal(l.blocked(), 0)
				})
			})
		}
	}
}
