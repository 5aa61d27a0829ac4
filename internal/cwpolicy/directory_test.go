package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestSelectDirectoryAddresses guards against callers that are sent to instances that
// are leaving, too small, or farther away than necessary.
func TestSelectDirectoryAddresses(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(name, region, domain string, size float64) cwpolicy.Member {
		m := cwpolicy.Member{PeerAddress: name, CallerAddress: name, Region: region, Domain: domain, Size: size}
		m.Incarnation, m.LastContactAt = 1, now
		return m
	}
	all := []cwpolicy.Member{
		member("n1", "north", "north-a", 1), member("n2", "north", "north-a", 1), member("n3", "north", "north-b", 1),
		member("s1", "south", "south-a", 1), member("w1", "west", "west-a", 1), member("w2", "west", "west-a", 0.1),
	}
	leaving := func(names ...string) []cwpolicy.Member {
		list := append([]cwpolicy.Member(nil), all...)
		for i := range list {
			for _, name := range names {
				list[i].IsLeaving = list[i].IsLeaving || list[i].PeerAddress == name
			}
		}
		return list
	}
	for _, c := range []struct {
		name    string
		members []cwpolicy.Member
		query   cwpolicy.DirectoryQuery
		want    []string
	}{
		{"own domain", all, cwpolicy.DirectoryQuery{Region: "north", Domain: "north-a"}, []string{"n1", "n2"}},
		{"too few instances in the domain", all, cwpolicy.DirectoryQuery{Region: "north", Domain: "north-b"}, []string{"n1", "n2", "n3"}},
		{"only one instance in the region", all, cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a"}, []string{"s1"}},
		{"small instances are omitted", all, cwpolicy.DirectoryQuery{Region: "west", Domain: "west-a"}, []string{"w1"}},
		{"no usable instance in the region, home regions first", leaving("s1"), cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a", HomeRegions: []string{"south", "north"}}, []string{"n1", "n2", "n3"}},
		{"no usable instance in the region, no home regions", leaving("s1", "w1", "w2"), cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a"}, []string{"n1", "n2", "n3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(cwpolicy.SelectDirectoryAddresses(c.members, c.query, now), c.want)
		})
	}
}
