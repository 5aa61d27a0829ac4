package cwpublished

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// View is the meaning of what is published, at one moment. It is never changed.
type View struct {
	// Generation rises with every view.
	Generation uint64
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Config is the configuration in force; nil before the first.
	Config *cwroute.Config
	// Endpoints are those that may be used, by identifier.
	Endpoints map[string]Registration
	// EvacuatedDomains names the failure domains whose endpoints get nothing new.
	EvacuatedDomains map[string]bool
}

// Registration is an endpoint and when its entry was read here.
type Registration struct {
	cwroute.Endpoint
	// ReadAt is when this instance read the entry.
	ReadAt time.Time
	// Revision is that of the entry.
	Revision uint64
}
