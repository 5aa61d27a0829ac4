package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// PublishedApplied is posted each time this instance has applied or confirmed the
// published state up to a revision, from the store or a peer.
type PublishedApplied struct {
	// Revision is the applied revision of the store.
	Revision uint64
}

func (e PublishedApplied) apply(s *state, now time.Time) {
	version := cwconfig.Version{Number: e.Revision}
	s.configTracker.Accept(version)
	s.configTracker.Confirm(version, now)
}
