package cwapp_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// regionPair is north with one instance and south with one, each with a lookup
// and a booking service.
type regionPair struct {
	*cwscene.Scene
	north, south           *cwscene.Instance
	northPlain, southPlain *cwstandin.PlainService
}

func newRegionPair(t *testing.T, s *cwscene.Scene, pool string) *regionPair {
	t.Helper()
	two := &regionPair{Scene: s, northPlain: cwstandin.NewPlainService("north", 0), southPlain: cwstandin.NewPlainService("south", 0)}
	s.AddEndpoint("north-a", "10.1.0.5", pool, two.northPlain.Handler())
	s.AddEndpoint("south-a", "10.2.0.5", pool, two.southPlain.Handler())
	s.Publish()
	two.north = s.AddInstance("10.1.0.1", "north", "north-a")
	two.south = s.AddInstance("10.2.0.1", "south", "south-a")
	s.AwaitReady()
	s.Await(func() bool {
		return len(two.north.Control.Snapshot().Capacities[pool]) > 0 && len(two.south.Control.Snapshot().Capacities[pool]) > 0
	})
	return two
}

func TestRequestIsServedOnlyInAllowedRegions(t *testing.T) {
	scenarios := []struct {
		name     string
		places   []string
		transit  []string
		home     string
		status   int
		region   string
		southRun int
	}{
		{name: "own region", places: []string{"north", "south"}, status: 200, region: "north"},
		{name: "other region by transit", places: []string{"south"}, transit: []string{"north"}, status: 200, region: "south", southRun: 1},
		{name: "other region without transit", places: []string{"south"}, status: http.StatusTemporaryRedirect},
		{name: "home elsewhere, no transit", places: []string{"north", "south"}, home: "south", status: http.StatusTemporaryRedirect},
		{name: "home outside the places", places: []string{"north"}, home: "south", status: http.StatusMisdirectedRequest},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := cwscene.NewLookupService(sc.places...)
				service.Transit = sc.transit
				s := cwscene.NewScene(t, service)
				defer s.Close()
				s.AddAccount("bound", "bound-key", sc.home)
				two := newRegionPair(t, s, "lookup")
				caller := s.NewCaller()
				caller.Key = "bound-key"
				a := caller.Do(t.Context(), two.north, cwscene.Request{Method: "GET", Path: "/services/lookup/x"})
				is.NoErr(a.Err)
				is.Equal(a.Status, sc.status)
				is.Equal(a.Header.Get(cwanswer.HeaderRegion), sc.region)
				total, _ := two.southPlain.TotalRuns()
				is.Equal(total, sc.southRun)
				if sc.status == http.StatusTemporaryRedirect {
					is.Equal(a.Header.Get("Location"), "http://10.2.0.1:7080/services/lookup/x")
				}
				if sc.status >= 300 {
					is.Equal(a.Header.Get(cwanswer.HeaderOutcome), string(cwanswer.NotRun))
				}
			})
		})
	}
}
