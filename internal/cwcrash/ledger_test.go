package cwcrash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
)

// TestTiedCauses guards against a block of two parts together that never came in one request:
// it would refuse none. One of them is blocked until the next end tells.
func TestTiedCauses(t *testing.T) {
	is := is.New(t)
	in := newInstances(1)
	beside := []observation{{ended: 1, parts: []uint64{first, other}}, {ended: 2, parts: []uint64{first, other}}, {ended: 3, parts: []uint64{first, other}}}
	for _, o := range join(survivals(1, first), interleave(ends(3, 1, first, bad), beside)) {
		in.observe(o)
	}
	is.True(in.isBlocked(0, first, bad) != in.isBlocked(0, first, other))
}

// TestHalvesThatMeet checks that instances which each saw too few ends block when they meet,
// and that one which knows a part to be sound clears it for all.
func TestHalvesThatMeet(t *testing.T) {
	is := is.New(t)
	in := newInstances(4)
	for i, o := range join(ends(4, 1, first, bad), ends(3, 11, first, document)) {
		o.instance = i % 2 * 2
		in.observe(o)
	}
	for range 9 {
		in.observe(observation{instance: 3, parts: []uint64{first, document}})
	}
	is.True(!in.isBlocked(0, first, bad) && !in.isBlocked(2, first, bad))
	in.meet()
	for i := range in.ledgers {
		is.True(in.isBlocked(i, first, bad))
		is.True(!in.isBlocked(i, first, document))
	}
}

// TestEvidenceFromSlowInstanceClears guards against parts that stay blocked after the evidence
// about the true cause has come.
func TestEvidenceFromSlowInstanceClears(t *testing.T) {
	is := is.New(t)
	in := newInstances(2)
	for n := range uint32(4) {
		in.observe(observation{after: time.Second, instance: 0, ended: n + 1, parts: []uint64{first, bad}})
		if n < 3 {
			in.observe(observation{instance: 1, ended: n + 1, parts: []uint64{first, document}})
		}
	}
	is.True(in.isBlocked(1, first, document))
	in.meet()
	is.True(!in.isBlocked(1, first, document))
	is.True(in.isBlocked(1, first, bad))
}

// TestBlockEnds checks that a block lasts while requests come that it refuses, and ends after
// retention or when an operator lifts it, at all instances.
func TestBlockEnds(t *testing.T) {
	for _, isLifted := range []bool{false, true} {
		t.Run(fmt.Sprintf("lifted=%t", isLifted), func(t *testing.T) {
			is := is.New(t)
			in := newInstances(2)
			for _, o := range join(survivals(1, first), ends(3, 1, first, bad)) {
				in.observe(o)
			}
			in.meet()
			for range 30 {
				in.now = in.now.Add(time.Minute)
				b := in.ledgers[0].Match(traitsOf([]uint64{first, bad}))
				is.True(b != nil)
				in.ledgers[0].RecordRefusal(b, in.now)
				in.meet()
				is.True(in.isBlocked(1, first, bad))
			}
			if isLifted {
				is.True(!in.ledgers[1].Lift(cwcrash.PartTrait(other), in.now))
				is.True(in.ledgers[1].Lift(cwcrash.PartTrait(bad), in.now))
				is.True(!in.isBlocked(1, first, bad))
			} else {
				in.now = in.now.Add(11 * time.Minute)
			}
			in.meet()
			for i := range in.ledgers {
				is.Equal(len(in.ledgers[i].Blocks(in.now)), 0)
				is.True(!in.isBlocked(i, first, bad))
			}
			for _, o := range ends(3, 21, first, bad) {
				in.observe(o)
			}
			is.True(in.isBlocked(0, first, bad))
		})
	}
}

// TestFreshInstanceLearnsBlocks checks that an instance which starts later gets the blocks
// however old they are.
func TestFreshInstanceLearnsBlocks(t *testing.T) {
	is := is.New(t)
	in := newInstances(2)
	for _, o := range join(survivals(1, first), ends(3, 1, first, bad)) {
		in.observe(o)
	}
	in.now = in.now.Add(5 * time.Minute)
	in.ledgers[1].Merge(in.ledgers[0].Reports(in.now, reportLimit), in.now)
	is.True(in.isBlocked(1, first, bad))
}

// TestMadeUpPartsAreBounded guards against memory and messages that grow with the parts that
// callers make up, and against blocks that these push out.
func TestMadeUpPartsAreBounded(t *testing.T) {
	is := is.New(t)
	in := newInstances(1)
	for _, o := range join(survivals(1, first), ends(3, 1, first, bad)) {
		in.observe(o)
	}
	for n := range uint32(1000) {
		var parts []uint64
		for p := range uint64(200) {
			parts = append(parts, 1000+uint64(n)*200+p)
		}
		in.observe(observation{after: time.Millisecond, ended: 100 + n, parts: parts})
	}
	is.True(in.isBlocked(0, first, bad))
	is.Equal(len(in.ledgers[0].Reports(in.now, reportLimit)), reportLimit)
}

// TestCauseAmongManyRequests guards against evidence about a cause that is lost among that about
// all the requests that were at the endpoints beside it, each of its own kind, at many instances.
func TestCauseAmongManyRequests(t *testing.T) {
	is := is.New(t)
	in := newInstances(4)
	part := uint64(1000)
	for endpoint := range uint32(5) {
		for i := range in.ledgers {
			for range 40 {
				part++
				in.observe(observation{instance: i, ended: endpoint + 1, parts: []uint64{first, part}})
			}
		}
		in.observe(observation{instance: int(endpoint) % 4, ended: endpoint + 1, parts: []uint64{first, bad}})
		for range 10 {
			in.observe(observation{after: 300 * time.Millisecond, meet: true})
		}
	}
	for i := range in.ledgers {
		is.True(in.isBlocked(i, first, bad))
	}
}

// TestSuspects checks that a request is not sent to another endpoint if the next end would block
// requests like it.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	in := newInstances(1)
	for _, o := range join(survivals(1, first, document), ends(1, 1, first, bad)) {
		in.observe(o)
	}
	is.True(!in.ledgers[0].IsSuspect(traitsOf([]uint64{first, bad})))
	in.observe(ends(1, 2, first, bad)[0])
	is.True(in.ledgers[0].IsSuspect(traitsOf([]uint64{first, bad})))
	is.True(!in.ledgers[0].IsSuspect(traitsOf([]uint64{first, document})))
}
