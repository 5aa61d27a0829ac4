package cwapp_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// applyConfigAt puts a configuration in force at one instance alone, which its peers don't get.
func applyConfigAt(is *is.I, i *cwscene.RoutedInstance, routes ...cwscene.RoutedRoute) {
	config := cwstandin.NewPublishedConfig(99, append(cwscene.NewEngineService(0), cwstandin.NewPublishedPlainService("other")), routes)
	value, err := json.Marshal(config)
	is.NoErr(err)
	revision := i.State.Revision()
	i.State.Apply("test", cwpublished.Delta{Items: []cwpublished.Item{{Key: cwstandin.ConfigKey, Value: value, Revision: revision}}, Revision: revision})
	is.Equal(i.State.View().Config.Version, uint64(99))
}

// TestRelayBetweenVersions guards against a response that is damaged, cut off or missing because
// the instance that relays a request and the one that serves it have different configurations.
func TestRelayBetweenVersions(t *testing.T) {
	homes := []string{"south"}
	route := func(kind string, fields cwscene.RoutedRoute) cwscene.RoutedRoute {
		r := cwscene.NewRoute("r", kind, cwscene.RoutedRoute{"home-regions": homes})
		for name, value := range fields {
			r[name] = value
		}
		return r
	}
	resumable := cwscene.RoutedRoute{"resumable": true}
	for _, sc := range []struct {
		name        string
		entry, exit []cwscene.RoutedRoute
		// status is the expected status; the body of a 200 must be that of the endpoint.
		status int
	}{
		{"same", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("streaming", nil)}, http.StatusOK},
		{"exit has no route", []cwscene.RoutedRoute{route("streaming", nil)}, nil, http.StatusServiceUnavailable},
		{"entry has no route", nil, []cwscene.RoutedRoute{route("streaming", nil)}, http.StatusNotFound},
		{"exit has no endpoint of the service", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("streaming", cwscene.RoutedRoute{"service": "other"})}, http.StatusServiceUnavailable},
		{"exit is no home", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("streaming", cwscene.RoutedRoute{"home-regions": []string{"north"}})}, http.StatusServiceUnavailable},
		{"resumable at the entry", []cwscene.RoutedRoute{route("streaming", resumable)}, []cwscene.RoutedRoute{route("streaming", nil)}, http.StatusOK},
		{"resumable at the exit", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("streaming", resumable)}, http.StatusOK},
		{"shorter time limit at the exit", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("streaming", cwscene.RoutedRoute{"timeout-ms": 1})}, http.StatusOK},
		{"stream at the entry only", []cwscene.RoutedRoute{route("streaming", nil)}, []cwscene.RoutedRoute{route("safe", nil)}, http.StatusOK},
		{"stream at the exit only", []cwscene.RoutedRoute{route("safe", nil)}, []cwscene.RoutedRoute{route("streaming", nil)}, http.StatusOK},
	} {
		t.Run(sc.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.Publish(cwscene.NewEngineService(0), route("streaming", nil))
				s.AddWorker("south-a", "10.2.1.1")
				north, south := s.AddInstance("10.1.0.1", "north-a"), s.AddInstance("10.2.0.1", "south-a")
				s.AwaitReady()
				time.Sleep(3 * time.Second)
				applyConfigAt(is, north, sc.entry...)
				applyConfigAt(is, south, sc.exit...)
				resp := s.Do(t.Context(), north, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
				is.NoErr(resp.Err)
				is.Equal(resp.Status, sc.status)
				if sc.status != http.StatusOK {
					return
				}
				header := http.Header{"Clementinewell-Token-Count": {"900,60"}}
				is.Equal(resp.Body, strings.Join(heldWorkerPieces(&http.Request{Header: header}), ""))
			})
		})
	}
}
