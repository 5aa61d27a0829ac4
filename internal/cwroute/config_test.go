package cwroute_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// TestMatchReturnsLongestPrefix guards against a request that gets the route of a shorter
// prefix or of another host.
func TestMatchReturnsLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := cwroute.NewConfig(1, []cwroute.Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}, nil, cwroute.Limits{})
	is.Equal(c.Match("h", "/a/b/c/d").Name, "long")
	is.Equal(c.Match("h", "/a/bc").Name, "short")
	is.True(c.Match("h", "/a") == nil)
	is.True(c.Match("x", "/a/b/") == nil)
}

// TestHomesOf guards against callers that are sent to a region in which few or none of the
// host's routes may be served.
func TestHomesOf(t *testing.T) {
	for _, c := range []struct {
		name  string
		homes [][]string
		want  []string
	}{
		{"no route has homes", [][]string{nil, nil}, nil},
		{"one route has homes", [][]string{nil, {"south", "north"}}, []string{"north", "south"}},
		{"the region that most routes share", [][]string{{"north", "south"}, {"south", "west"}}, []string{"south"}},
		{"no region is a home of all routes", [][]string{{"north", "south"}, {"north", "south"}, {"west"}}, []string{"north", "south"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var routes []cwroute.Route
			for _, homes := range c.homes {
				routes = append(routes, cwroute.Route{Host: "h", Homes: homes})
			}
			is.New(t).Equal(cwroute.NewConfig(1, routes, nil, cwroute.Limits{}).HomesOf("h"), c.want)
		})
	}
}

// TestPickServiceFollowsWeights guards against services that get another share of a route's
// requests than their weight.
func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := cwroute.Route{Shares: []cwroute.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	is.Equal(r.PickService(0), "a")
	is.Equal(r.PickService(0.899), "a")
	is.Equal(r.PickService(0.901), "b")
	is.Equal((&cwroute.Route{}).PickService(0.5), "")
}
