package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwsite"
)

const (
	// ownerSilenceLimit is how long an instance without contact still uses what belongs to it:
	// it may only be partitioned from this one.
	ownerSilenceLimit = 30 * time.Second
	// ownershipDelay is the time after the start in which nothing belongs to an instance,
	// since its list of the other instances may be incomplete.
	ownershipDelay = 3 * time.Second
)

// sharing determines which instances use what is divided among instances: the slots of brittle
// endpoints, cold endpoints and the rate limits of endpoints. The retry budget is divided by the
// number of all instances known instead, see instanceCount: those that have ended only make the shares
// smaller, and an instance that does not know all others yet has no share.
type sharing struct {
	startedAt time.Time
	// leavingSince are the times at which instances were first known to be leaving, by the peer
	// address. One that starts again at the address has another incarnation.
	leavingSince map[string]leavingInstance
}

type leavingInstance struct {
	incarnation uint64
	since       time.Time
}

func newSharing(startedAt time.Time) *sharing {
	return &sharing{startedAt: startedAt, leavingSince: make(map[string]leavingInstance)}
}

// update records which instances are leaving.
func (s *sharing) update(snapshot *cwcontrol.Snapshot, now time.Time) {
	known := make(map[string]leavingInstance)
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if !m.IsLeaving {
			continue
		}
		l, ok := s.leavingSince[m.PeerAddress]
		if !ok || l.incarnation != m.Incarnation {
			l = leavingInstance{incarnation: m.Incarnation, since: now}
		}
		known[m.PeerAddress] = l
	}
	s.leavingSince = known
}

// isStarting reports whether this instance has only just started, so that nothing belongs to it.
func (s *sharing) isStarting(now time.Time) bool {
	return now.Sub(s.startedAt) < ownershipDelay
}

// hasEnded reports whether another instance that was leaving has ended. Until its grace is over it
// sends requests that arrive late, and has requests in progress.
func (s *sharing) hasEnded(m *cwpolicy.Member, bounds cwsite.Bounds, now time.Time) bool {
	if !m.IsLeaving {
		return false
	}
	l, ok := s.leavingSince[m.PeerAddress]
	return ok && now.Sub(l.since) > bounds.ShutdownGrace
}

// isUsing reports whether another instance may use what belongs to it. One that is silent or
// frozen may for a while; one that is starting may as soon as it is known.
func (s *sharing) isUsing(m *cwpolicy.Member, bounds cwsite.Bounds, now time.Time) bool {
	return !s.hasEnded(m, bounds, now) && now.Sub(m.LastContactAt) <= ownerSilenceLimit
}
