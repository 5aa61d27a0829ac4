package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// PublishedApplied is posted when this instance has applied the published state up
// to a revision, from the store or a confirmed peer.
type PublishedApplied struct {
	// Revision is that of the store.
	Revision uint64
}

func (e PublishedApplied) apply(s *state, now time.Time) {
	version := cwconfig.Version{Number: e.Revision}
	s.configTracker.Accept(version)
	s.configTracker.Confirm(version, now)
}
