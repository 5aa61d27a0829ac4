package cwpublished

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// View is the decoded published state at one moment. It is immutable.
type View struct {
	// Generation increases with every view.
	Generation uint64
	// Revision is the store's revision up to which the view is complete.
	Revision Revision
	// Config is the configuration in force; nil until there is one.
	Config *cwroute.Config
	// Endpoints are the registered endpoints, by identifier.
	Endpoints map[string]Registration
	// EvacuatedDomains are the failure domains whose endpoints get no new requests.
	EvacuatedDomains map[string]bool
}

// Registration is an endpoint's entry with the time at which it was read.
type Registration struct {
	cwroute.Endpoint
	// ReadAt is when this instance read the entry.
	ReadAt time.Time
	// Revision is the revision of the entry.
	Revision Revision
}
