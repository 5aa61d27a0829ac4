package cwcontrol

import (
	"time"
)

// InitialExchangeDone is posted when the first round of exchanges after the start
// has ended, whether or not the peers responded.
type InitialExchangeDone struct{}

func (InitialExchangeDone) apply(s *state, _ time.Time) {
	s.hasExchanged = true
}

// SelfLoad is posted with this instance's own load.
type SelfLoad struct {
	// Load is the fraction of the instance's capacity in use, and RequestsPerSecond the
	// rate of requests that it receives.
	Load, RequestsPerSecond float64
}

func (e SelfLoad) apply(s *state, _ time.Time) {
	s.self.Load, s.self.RequestsPerSecond = e.Load, e.RequestsPerSecond
}

// SelfLeaving is posted when this instance begins to shut down.
type SelfLeaving struct{}

func (SelfLeaving) apply(s *state, _ time.Time) {
	s.self.IsLeaving = true
}

// barrier is a channel that is closed once all events posted before it are in a
// published snapshot.
type barrier chan struct{}

func (b barrier) apply(s *state, _ time.Time) {
	s.barriers = append(s.barriers, b)
}

// SelfFrozen is posted after this process was paused. Its configuration may be out
// of date, so it must be confirmed again before the instance serves.
type SelfFrozen struct{}

func (SelfFrozen) apply(s *state, _ time.Time) {
	s.configTracker.RevokeConfirmation()
}

// SelfStoreUnreachable is posted when the store of published state becomes
// reachable or unreachable from this instance.
type SelfStoreUnreachable struct {
	// IsUnreachable is set if the store became unreachable.
	IsUnreachable bool
}

func (e SelfStoreUnreachable) apply(s *state, _ time.Time) {
	s.self.IsStoreUnreachable = e.IsUnreachable
}

// SelfCutOff is posted when this instance reaches no endpoint of its region any more, or
// reaches one again.
type SelfCutOff struct {
	// IsCutOff is set if it reaches none.
	IsCutOff bool
}

func (e SelfCutOff) apply(s *state, _ time.Time) {
	s.self.IsCutOff = e.IsCutOff
}
