package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

// PublishedTaken says that the published state is known up to a revision, as the
// store or a confirmed peer has it.
type PublishedTaken struct {
	// Revision is the store's revision.
	Revision uint64
}

func (e PublishedTaken) apply(s *state, now time.Time) {
	version := cwconfig.Version{Number: e.Revision}
	s.order.Accept(version)
	s.order.Confirm(version, now)
}
