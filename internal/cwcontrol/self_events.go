package cwcontrol

import (
	"time"
)

// InitialExchangeDone says that every known peer was asked once since the start.
type InitialExchangeDone struct{}

func (InitialExchangeDone) apply(s *state, _ time.Time) {
	s.hasExchanged = true
}

// SelfLoad brings this instance's own load.
type SelfLoad struct {
	// Load is the used share of the own capacity; Demand is requests per second.
	Load, RequestsPerSecond float64
}

func (e SelfLoad) apply(s *state, _ time.Time) {
	s.self.Load, s.self.RequestsPerSecond = e.Load, e.RequestsPerSecond
}

// SelfLeaving says that this instance shuts down.
type SelfLeaving struct{}

func (SelfLeaving) apply(s *state, _ time.Time) {
	s.self.IsLeaving = true
}

// barrier is closed once the snapshot that follows it is published.
type barrier chan struct{}

func (b barrier) apply(s *state, _ time.Time) {
	s.barriers = append(s.barriers, b)
}

// SelfFrozen says that this instance stood still: what it believes needs to be
// confirmed again before it serves.
type SelfFrozen struct{}

func (SelfFrozen) apply(s *state, _ time.Time) {
	s.configTracker.RevokeConfirmation()
}

// SelfStoreUnreachable says whether the store of published state answers this instance.
type SelfStoreUnreachable struct {
	// Unreachable is set while it does not.
	Unreachable bool
}

func (e SelfStoreUnreachable) apply(s *state, _ time.Time) {
	s.self.IsStoreUnreachable = e.Unreachable
}
