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

// regionPair is a scene with the regions north and south, each with one instance and one
// plain service.
type regionPair struct {
	*cwscene.Scene
	north, south           *cwscene.Instance
	northPlain, southPlain *cwstandin.PlainService
}

func newRegionPair(t *testing.T, s *cwscene.Scene, pool string) *regionPair {
	t.Helper()
	regions := &regionPair{Scene: s, northPlain: cwstandin.NewPlainService("north", 0), southPlain: cwstandin.NewPlainService("south", 0)}
	s.AddEndpoint("north-a", "10.1.0.5", pool, regions.northPlain.Handler())
	s.AddEndpoint("south-a", "10.2.0.5", pool, regions.southPlain.Handler())
	s.Publish()
	regions.north = s.AddInstance("10.1.0.1", "north", "north-a")
	regions.south = s.AddInstance("10.2.0.1", "south", "south-a")
	s.AwaitReady()
	s.Await(func() bool {
		return len(regions.north.Control.Snapshot().Capacities[pool]) > 0 && len(regions.south.Control.Snapshot().Capacities[pool]) > 0
	})
	return regions
}

// TestRequestIsServedOnlyInAllowedRegions checks that an instance serves, relays, redirects or
// refuses a request according to the allowed and transit regions of the service and the home
// of the account.
func TestRequestIsServedOnlyInAllowedRegions(t *testing.T) {
	scenarios := []struct {
		name           string
		allowedRegions []string
		transit        []string
		home           string
		status         int
		region         string
		southRuns      int
	}{
		{name: "own region", allowedRegions: []string{"north", "south"}, status: 200, region: "north"},
		{name: "other region by transit", allowedRegions: []string{"south"}, transit: []string{"north"}, status: 200, region: "south", southRuns: 1},
		{name: "other region without transit", allowedRegions: []string{"south"}, status: http.StatusTemporaryRedirect},
		{name: "home elsewhere, no transit", allowedRegions: []string{"north", "south"}, home: "south", status: http.StatusTemporaryRedirect},
		{name: "home outside the allowed regions", allowedRegions: []string{"north"}, home: "south", status: http.StatusMisdirectedRequest},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := cwscene.NewLookupService(sc.allowedRegions...)
				service.Transit = sc.transit
				s := cwscene.NewScene(t, service)
				defer s.Close()
				s.AddAccount("bound", "bound-key", sc.home)
				regions := newRegionPair(t, s, "lookup")
				caller := s.NewCaller()
				caller.Key = "bound-key"
				resp := caller.Do(t.Context(), regions.north, cwscene.Request{Method: "GET", Path: "/services/lookup/x"})
				is.NoErr(resp.Err)
				is.Equal(resp.Status, sc.status)
				is.Equal(resp.Header.Get(cwanswer.HeaderRegion), sc.region)
				total, _ := regions.southPlain.TotalRuns()
				is.Equal(total, sc.southRuns)
				if sc.status == http.StatusTemporaryRedirect {
					is.Equal(resp.Header.Get("Location"), "http://10.2.0.1:7080/services/lookup/x")
				}
				if sc.status >= 300 {
					is.Equal(resp.Header.Get(cwanswer.HeaderOutcome), string(cwanswer.NotRun))
				}
			})
		})
	}
}
