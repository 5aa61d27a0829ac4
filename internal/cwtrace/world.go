package cwtrace

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// replayState holds the decision state of each instance of a trace.
type replayState struct {
	startedAt      time.Time
	instances      map[string]*instanceState
	encodedTickets map[string]string
	handovers      map[string][]cwpolicy.TicketHandover
}

// instanceState is what one instance believes.
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

// incarnationOf gives each name of an instance a number of its own.
func incarnationOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func (w *replayState) ensureInstance(name string) *instanceState {
	if w.instances[name] == nil {
		key := cwpolicy.TicketKey{}
		copy(key[:], name)
		w.instances[name] = &instanceState{
			name:       name,
			tickets:    cwpolicy.NewTicketRegistry(incarnationOf(name), key),
			membership: cwpolicy.NewMembership(name),
			scheduler:  cwpolicy.NewPoolScheduler[string](),
			rng:        rand.New(rand.NewPCG(1, incarnationOf(name))),
		}
	}
	return w.instances[name]
}

func (w *replayState) stepTime(s *Step) time.Time {
	return w.startedAt.Add(time.Duration(s.AtMillis) * time.Millisecond)
}

type eventHandler func(w *replayState, i *instanceState, s *Step, now time.Time) string

func (w *replayState) runStep(s *Step) (string, error) {
	actions := []struct {
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
	for _, a := range actions {
		if a.name == s.Event {
			return a.run(w, w.ensureInstance(s.Instance), s, w.stepTime(s)), nil
		}
	}
	return "", fmt.Errorf("unknown event %q", s.Event)
}
