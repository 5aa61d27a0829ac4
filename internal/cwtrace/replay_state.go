package cwtrace

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// replayState holds the state of all instances of a trace, and what they exchange.
type replayState struct {
	startedAt      time.Time
	instances      map[string]*instanceState
	encodedTickets map[string]string
	handovers      map[string][]cwpolicy.TicketHandover
}

// instanceState holds the decision state of one instance.
type instanceState struct {
	name             string
	tickets          *cwpolicy.TicketRegistry
	configTracker    cwpolicy.ConfigTracker
	membership       *cwpolicy.Membership
	ticketMoves      []cwpolicy.TicketMove
	scheduler        *cwpolicy.PoolScheduler[string]
	remoteCapacities []cwpolicy.DomainCapacity
	rng              *rand.Rand
}

func newReplayState() *replayState {
	return &replayState{
		startedAt:      time.Unix(1_800_000_000, 0),
		instances:      make(map[string]*instanceState),
		encodedTickets: make(map[string]string),
		handovers:      make(map[string][]cwpolicy.TicketHandover),
	}
}

// incarnationOf derives an incarnation from the name of an instance.
func incarnationOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func (r *replayState) ensureInstance(name string) *instanceState {
	if r.instances[name] == nil {
		key := cwpolicy.TicketKey{}
		copy(key[:], name)
		r.instances[name] = &instanceState{
			name:       name,
			tickets:    cwpolicy.NewTicketRegistry(incarnationOf(name), key),
			membership: cwpolicy.NewMembership(name),
			scheduler:  cwpolicy.NewPoolScheduler[string](),
			rng:        rand.New(rand.NewPCG(1, incarnationOf(name))),
		}
	}
	return r.instances[name]
}

func (r *replayState) stepTime(s *Step) time.Time {
	return r.startedAt.Add(time.Duration(s.AtMillis) * time.Millisecond)
}

// eventHandler applies the event of a step to an instance and returns the outcome.
type eventHandler func(state *replayState, i *instanceState, s *Step, now time.Time) string

func (r *replayState) runStep(s *Step) (string, error) {
	handlers := []struct {
		name string
		run  eventHandler
	}{
		{"issue", issueTicket},
		{"request", beginTicketUse},
		{"dispatch", checkMayDispatch},
		{"end", endTicketUse},
		{"giveUp", handOverTickets},
		{"adopt", takeOverTickets},
		{"offerConfig", offerConfig},
		{"confirmConfig", confirmConfig},
		{"ready", checkConfigConfirmed},
		{"fresh", checkConfigFresh},
		{"list", applyPlatformList},
		{"heard", applySelfReport},
		{"gossip", applyGossip},
		{"failed", recordContactFailure},
		{"usable", checkMemberUsable},
		{"moved", recordTicketMove},
		{"owner", findTicketOwner},
		{"reader", checkPlatformReader},
		{"endpoint", applyLoadReport},
		{"endpointFailed", recordEndpointFailure},
		{"room", applyDomainCapacity},
		{"place", placeRequest},
		{"next", placeNextQueued},
		{"places", listAllowedRegions},
		{"hop", spendHop},
	}
	for _, h := range handlers {
		if h.name == s.Event {
			return h.run(r, r.ensureInstance(s.Instance), s, r.stepTime(s)), nil
		}
	}
	return "", fmt.Errorf("unknown event %q", s.Event)
}
