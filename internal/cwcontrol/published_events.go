package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// PublishedApplied says that the published state is known up to a revision, as the
// store or a confirmed peer has it.
type PublishedApplied struct {
	// Revision is the store's revision.
	Revision uint64
}

func (e PublishedApplied) apply(s *state, now time.Time) {
	version := cwconfig.Version{Number: e.Revision}
	s.configTracker.Accept(version)
	s.configTracker.Confirm(version, now)
}
