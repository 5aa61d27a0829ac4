package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// PublishedApplied is posted each time this instance has applied or confirmed the
// published state up to a revision, from the store or a peer.
type PublishedApplied struct {
	// Revision is the applied revision of the store.
	Revision uint64
	// KeptConfig is the version of the configuration in force if the store has lost it; otherwise 0.
	KeptConfig uint64
}

func (e PublishedApplied) apply(s *state, now time.Time) {
	version := cwconfig.Version{Number: e.Revision}
	if e.KeptConfig > 0 {
		version.Hash = cwpolicy.FormatKeptConfig(e.KeptConfig)
	}
	s.configTracker.Accept(version)
	s.configTracker.Confirm(version, now)
}
