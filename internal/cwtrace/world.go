package cwtrace

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// world holds the decision state of each instance of a trace.
type world struct {
	start     time.Time
	instances map[string]*instance
	tickets   map[string]string
	handovers map[string][]cwpolicy.TicketHandover
}

// instance is what one instance believes.
type instance struct {
	name       string
	book       *cwpolicy.TicketRegistry
	order      cwpolicy.ConfigTracker
	membership *cwpolicy.Membership
	moves      []cwpolicy.TicketMove
	station    *cwpolicy.PoolScheduler[string]
	rooms      []cwpolicy.DomainCapacity
	rng        *rand.Rand
}

func newWorld() *world {
	return &world{
		start:     time.Unix(1_800_000_000, 0),
		instances: make(map[string]*instance),
		tickets:   make(map[string]string),
		handovers: make(map[string][]cwpolicy.TicketHandover),
	}
}

// incarnationOf gives each name of an instance a number of its own.
func incarnationOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func (w *world) at(name string) *instance {
	if w.instances[name] == nil {
		key := cwpolicy.TicketKey{}
		copy(key[:], name)
		w.instances[name] = &instance{
			name:       name,
			book:       cwpolicy.NewTicketRegistry(incarnationOf(name), key),
			membership: cwpolicy.NewMembership(name),
			station:    cwpolicy.NewPoolScheduler[string](),
			rng:        rand.New(rand.NewPCG(1, incarnationOf(name))),
		}
	}
	return w.instances[name]
}

func (w *world) time(s *Step) time.Time {
	return w.start.Add(time.Duration(s.AtMillis) * time.Millisecond)
}

type action func(w *world, i *instance, s *Step, now time.Time) string

func (w *world) run(s *Step) (string, error) {
	actions := []struct {
		name string
		run  action
	}{
		{"issue", issue},
		{"request", request},
		{"dispatch", dispatch},
		{"end", end},
		{"giveUp", giveUp},
		{"adopt", adopt},
		{"offerConfig", offerConfig},
		{"confirmConfig", confirmConfig},
		{"ready", ready},
		{"fresh", fresh},
		{"list", list},
		{"heard", heard},
		{"gossip", gossip},
		{"failed", failed},
		{"usable", usable},
		{"moved", moved},
		{"owner", owner},
		{"reader", reader},
		{"endpoint", endpoint},
		{"endpointFailed", endpointFailed},
		{"room", room},
		{"place", place},
		{"next", next},
		{"places", places},
		{"hop", hop},
	}
	for _, a := range actions {
		if a.name == s.Do {
			return a.run(w, w.at(s.Instance), s, w.time(s)), nil
		}
	}
	return "", fmt.Errorf("unknown event %q", s.Do)
}
