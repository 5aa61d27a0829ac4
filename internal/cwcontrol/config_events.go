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
	if s.order.Accept(e.State.Version) {
		s.config = e.State
	}
}

// ConfigSeen says which version the platform or a confirmed peer has.
type ConfigSeen struct {
	// Version is the one that was seen.
	Version cwconfig.Version
}

func (e ConfigSeen) apply(s *state, now time.Time) {
	s.order.Confirm(e.Version, now)
}
