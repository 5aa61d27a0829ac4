package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ConfigFetched brings a configuration with its content.
type ConfigFetched struct {
	// State is the configuration.
	State *cwconfig.State
}

func (e ConfigFetched) apply(s *state, _ time.Time) {
	if s.configTracker.Accept(e.State.Version) {
		s.config = e.State
	}
}

// ConfigConfirmed says which version the platform or a confirmed peer has.
type ConfigConfirmed struct {
	// Version is the one that was seen.
	Version cwconfig.Version
}

func (e ConfigConfirmed) apply(s *state, now time.Time) {
	s.configTracker.Confirm(e.Version, now)
}
