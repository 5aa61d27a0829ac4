package cwcrash_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlame checks which requests are blocked after endpoints ended.
func TestBlame(t *testing.T) {
	soundBeside := []observation{{ended: 101, parts: []uint64{first, document}}, {ended: 102, parts: []uint64{first, document}}, {ended: 103, parts: []uint64{first, document}}}
	for _, sc := range []struct {
		name         string
		observations []observation
		// blocked and served are the parts of requests that must be and must not be refused.
		blocked, served [][]uint64
	}{
		{
			name:         "two ends may be a coincidence",
			observations: ends(2, 1, first, bad),
			served:       [][]uint64{{first, bad}, {first, document}},
		},
		{
			name:         "three ends under one part",
			observations: join(survivals(1, first, document), ends(3, 1, first, bad)),
			blocked:      [][]uint64{{first, bad}, {first, document, bad}, {bad}},
			served:       [][]uint64{{first, document}, {first}},
		},
		{
			name:         "sound requests beside the cause, never served themselves",
			observations: join(soundBeside, ends(4, 101, first, bad)),
			blocked:      [][]uint64{{first, bad}},
			served:       [][]uint64{{first, document}},
		},
		{
			name: "sound requests beside the cause at each end",
			observations: join(survivals(1, first), interleave(
				ends(3, 1, first, bad), []observation{{ended: 1, parts: []uint64{first, other}}, {ended: 2, parts: []uint64{first, other}}, {ended: 3, parts: []uint64{first, other}}}),
				ends(1, 4, first, bad)),
			blocked: [][]uint64{{first, bad}},
			served:  [][]uint64{{first, other}},
		},
		{
			name:         "two causes",
			observations: join(survivals(1, first, document), ends(3, 1, first, bad), ends(3, 11, first, worse)),
			blocked:      [][]uint64{{first, bad}, {first, worse}},
			served:       [][]uint64{{first, document}},
		},
		{
			name:         "parts that always came together are blocked together",
			observations: join(survivals(1, first), ends(3, 1, first, bad, other)),
			blocked:      [][]uint64{{first, bad, other}},
			served:       [][]uint64{{first, bad}, {first, other}},
		},
		{
			name:         "an end without the other part tells which of them it is",
			observations: join(survivals(1, first), ends(3, 1, first, bad, other), ends(1, 4, first, bad)),
			blocked:      [][]uint64{{first, bad}, {first, bad, other}},
			served:       [][]uint64{{first, other}},
		},
		{
			name:         "a survival calls for two more ends",
			observations: join(ends(1, 1, first, bad), survivals(1, first, bad), ends(3, 2, first, bad)),
			served:       [][]uint64{{first, bad}},
		},
		{
			name:         "a part that ends endpoints in most runs",
			observations: join(ends(1, 1, first, bad), survivals(1, first, bad), ends(4, 2, first, bad)),
			blocked:      [][]uint64{{first, bad}},
		},
		{
			name:         "a part that only some endpoints do not survive",
			observations: join(ends(2, 1, first, bad), survivals(2, first, bad), ends(2, 3, first, bad), survivals(2, first, bad), ends(2, 5, first, bad)),
			served:       [][]uint64{{first, bad}},
		},
		{
			name: "endpoints that end together",
			observations: join(survivals(2, first, document), []observation{
				{ended: 1, parts: []uint64{first, document}},
				{after: 20 * time.Millisecond, ended: 2, parts: []uint64{first, document}},
				{after: 20 * time.Millisecond, ended: 3, parts: []uint64{first, document}},
				{after: 20 * time.Millisecond, ended: 4, parts: []uint64{first, document}},
				{after: 20 * time.Millisecond, ended: 5, parts: []uint64{first, document}},
				{after: 10 * time.Millisecond, ended: 6, parts: []uint64{first, other}},
			}),
			served: [][]uint64{{first, document}, {first, other}},
		},
		{
			name: "endpoints that end one after the other for another reason",
			observations: join(survivals(1, first), interleave(
				ends(3, 1, first, document), ends(3, 11, first, other), ends(3, 21, first, 31), ends(3, 31, first, 32), ends(3, 41, first, 33))),
			served: [][]uint64{{first, document}, {first, other}, {first, 31}},
		},
		{
			name:         "two causes at the same time",
			observations: join(survivals(1, first), interleave(ends(4, 1, first, bad), ends(4, 11, first, worse))),
			blocked:      [][]uint64{{first, bad}, {first, worse}},
		},
		{
			name:         "a first part that a request survived is never blocked",
			observations: join(survivals(1, first, document), ends(16, 1, first)),
			served:       [][]uint64{{first}, {first, document}},
		},
		{
			name:         "a first part that no request survived, after five ends",
			observations: join(survivals(1, other), ends(5, 1, bad)),
			blocked:      [][]uint64{{bad}},
			served:       [][]uint64{{other}},
		},
		{
			name:         "served often until a moment ago",
			observations: join(survivals(20, first, document), ends(6, 1, first, document)),
			served:       [][]uint64{{first, document}},
		},
		{
			name:         "all endpoints end one after the other, twice, and it was served often between",
			observations: join(ends(1, 1, first, document), survivals(100, first, document), quickEnds(9, 2, first, document), survivals(100, first, document), quickEnds(16, 11, first, document)),
			served:       [][]uint64{{first, document}},
		},
		{
			name:         "served often, but not for the last minute",
			observations: join(survivals(20, first, document), []observation{{after: 2 * time.Minute, parts: []uint64{first}}}, ends(3, 1, first, document)),
			blocked:      [][]uint64{{first, document}},
		},
		{
			name:         "an end that several requests and instances report counts once",
			observations: []observation{{ended: 1, parts: []uint64{first, bad}}, {after: time.Second, ended: 1, parts: []uint64{first, bad}}, {after: time.Second, ended: 1, parts: []uint64{first, bad}}},
			served:       [][]uint64{{first, bad}},
		},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			in := newInstances(1)
			for _, o := range sc.observations {
				in.observe(o)
			}
			for _, parts := range sc.blocked {
				is.True(in.isBlocked(0, parts...))
			}
			for _, parts := range sc.served {
				is.True(!in.isBlocked(0, parts...))
			}
		})
	}
}
