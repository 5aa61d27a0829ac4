package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// ConfigFetched is posted when a configuration was fetched with its content. It
// takes effect if its version is newer than the accepted one.
type ConfigFetched struct {
	// State is the fetched configuration.
	State *cwconfig.State
}

func (e ConfigFetched) apply(s *state, _ time.Time) {
	if s.configTracker.Accept(e.State.Version) {
		s.config = e.State
	}
}

// ConfigConfirmed is posted when the platform, or a peer whose configuration is
// confirmed, reports its version. It is also posted for the version of a configuration
// that was fetched from the platform or from any peer.
type ConfigConfirmed struct {
	// Version is the reported version.
	Version cwconfig.Version
}

func (e ConfigConfirmed) apply(s *state, now time.Time) {
	s.configTracker.Confirm(e.Version, now)
}
