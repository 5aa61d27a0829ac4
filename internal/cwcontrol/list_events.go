package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// EntriesListed is posted with each version of the platform's list of entry
// instances.
type EntriesListed struct {
	// Entries is the list. It lags behind the actual instances.
	Entries []cwplatform.EntryInstance
}

func (e EntriesListed) apply(s *state, now time.Time) {
	list := make([]cwpolicy.ListedInstance, 0, len(e.Entries))
	for _, entry := range e.Entries {
		list = append(list, cwpolicy.ListedInstance{
			PeerAddress:   entry.PeerAddress,
			CallerAddress: entry.CallerAddress,
			Region:        entry.Region,
			Domain:        entry.Domain,
			Size:          entry.Size,
			IsLeaving:     entry.IsLeaving,
		})
	}
	s.membership.OnPlatformList(list, now)
	s.membersDirty = true
}

// EndpointsListed is posted with each version of the platform's list of the
// domain's endpoints. An empty list changes nothing.
type EndpointsListed struct {
	// Endpoints is the list. It lags behind the actual endpoints.
	Endpoints []cwplatform.ListedEndpoint
}

func (e EndpointsListed) apply(s *state, now time.Time) {
	if len(e.Endpoints) == 0 {
		return
	}
	for _, r := range s.endpoints {
		r.IsListed = false
	}
	for _, entry := range e.Endpoints {
		r := s.ensureEndpoint(entry.Address, now)
		r.IsListed = true
		r.Pool, r.Accelerators = entry.Pool, max(entry.Accelerators, 1)
		if entry.IsLeaving {
			r.MarkLeaving(0)
		}
		s.markChanged(r)
	}
	s.removeExpiredEndpoints(now)
}
