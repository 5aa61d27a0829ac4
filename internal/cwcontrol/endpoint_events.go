package cwcontrol

import (
	"time"
)

// EndpointReported is posted for each load report of an endpoint. A report of an
// unknown endpoint is ignored unless it names the pool.
type EndpointReported struct {
	EndpointReport
}

func (e EndpointReported) apply(s *state, now time.Time) {
	r := s.endpoints[e.Address]
	if r == nil {
		if e.Pool == "" {
			return
		}
		r = s.ensureEndpoint(e.Address, e.Report.ReportedAt)
		r.Pool, r.Accelerators = e.Pool, e.Accelerators
	}
	r.apply(e.EndpointReport, now)
	s.markChanged(r)
}

// EndpointFailed is posted when an endpoint could not be reached.
type EndpointFailed struct {
	// Address is the endpoint's host and port.
	Address string
}

func (e EndpointFailed) apply(s *state, now time.Time) {
	if r := s.endpoints[e.Address]; r != nil {
		r.RecordContactFailure(now)
		s.markChanged(r)
	}
}
