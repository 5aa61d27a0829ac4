package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

func TestFronts(t *testing.T) {
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
		ask     cwpolicy.DirectoryQuery
		want    []string
	}{
		{"own domain", all, cwpolicy.DirectoryQuery{Region: "north", Domain: "north-a"}, []string{"n1", "n2"}},
		{"too few in the domain", all, cwpolicy.DirectoryQuery{Region: "north", Domain: "north-b"}, []string{"n1", "n2", "n3"}},
		{"only one in the region", all, cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a"}, []string{"s1"}},
		{"small ones are left out", all, cwpolicy.DirectoryQuery{Region: "west", Domain: "west-a"}, []string{"w1"}},
		{"region empty, homes first", leaving("s1"), cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a", HomeRegions: []string{"south", "north"}}, []string{"n1", "n2", "n3"}},
		{"region empty, no homes", leaving("s1", "w1", "w2"), cwpolicy.DirectoryQuery{Region: "south", Domain: "south-a"}, []string{"n1", "n2", "n3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(cwpolicy.SelectDirectoryAddresses(c.members, c.ask, now), c.want)
		})
	}
}
