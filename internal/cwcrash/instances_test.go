package cwcrash_test

import (
	"cmp"
	"fmt"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
)

// observation is one event at one of the instances of a scenario.
type observation struct {
	// after is the time since the event before.
	after time.Duration
	// instance observes it.
	instance int
	// ended is the endpoint that ended under a request with the parts; 0 if the request did not
	// end its endpoint.
	ended uint32
	// parts are those of the prompt but the last.
	parts []uint64
	// request identifies the request; 0 for one of its own.
	request uint32
	// meet, if set, makes all instances exchange their evidence instead.
	meet bool
}

const (
	first = uint64(iota) + 1
	document
	other
	bad
	worse
)

// reportLimit is the number of records that instances of a scenario tell each other at once.
const reportLimit = 32

// instances are the ledgers of a scenario.
type instances struct {
	ledgers []*cwcrash.Ledger
	now     time.Time
	request uint32
}

func newInstances(n int) *instances {
	in := &instances{now: time.Now()}
	for i := range n {
		in.ledgers = append(in.ledgers, cwcrash.NewLedger(uint64(i+1), nil))
	}
	return in
}

func traitsOf(parts []uint64) []cwcrash.Trait {
	var traits []cwcrash.Trait
	for _, p := range parts {
		traits = append(traits, cwcrash.PartTrait(p))
	}
	return traits
}

func suspectsOf(parts []uint64) []cwcrash.Suspect {
	var suspects []cwcrash.Suspect
	for i, t := range traitsOf(parts) {
		suspects = append(suspects, cwcrash.Suspect{Trait: t, Name: fmt.Sprintf("part %d", parts[i]), IsFirstPart: i == 0})
	}
	return suspects
}

func (in *instances) observe(o observation) {
	in.now = in.now.Add(o.after)
	switch {
	case o.meet:
		in.meet()
	case o.ended != 0:
		in.request++
		request := cmp.Or(o.request, in.request)
		in.ledgers[o.instance].RecordEnd(cwcrash.Event{ID: o.ended, Request: request, At: in.now}, suspectsOf(o.parts))
	default:
		in.request++
		in.ledgers[o.instance].RecordSurvival(in.request, traitsOf(o.parts), in.now)
	}
}

func (in *instances) meet() {
	for range 2 {
		for _, from := range in.ledgers {
			for _, to := range in.ledgers {
				to.Merge(from.Reports(in.now, reportLimit), in.now)
			}
		}
	}
}

// isBlocked reports whether an instance refuses a request with the parts.
func (in *instances) isBlocked(instance int, parts ...uint64) bool {
	return in.ledgers[instance].Match(traitsOf(parts)) != nil
}

// ends returns n ends of endpoints, a second apart, under requests with the parts.
func ends(n int, firstEndpoint uint32, parts ...uint64) []observation {
	var list []observation
	for i := range n {
		list = append(list, observation{after: time.Second, ended: firstEndpoint + uint32(i), parts: parts})
	}
	return list
}

// quickEnds does the same as ends, with ends 200 ms apart.
func quickEnds(n int, firstEndpoint uint32, parts ...uint64) []observation {
	list := ends(n, firstEndpoint, parts...)
	for i := range list {
		list[i].after = 200 * time.Millisecond
	}
	return list
}

func survivals(n int, parts ...uint64) []observation {
	var list []observation
	for range n {
		list = append(list, observation{after: 100 * time.Millisecond, parts: parts})
	}
	return list
}

func join(lists ...[]observation) []observation {
	var all []observation
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// interleave returns the events of all lists in turn.
func interleave(lists ...[]observation) []observation {
	var all []observation
	for i := range lists[0] {
		for _, l := range lists {
			all = append(all, l[i])
		}
	}
	return all
}
