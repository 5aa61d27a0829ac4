package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// EndpointRecord is the control state of one endpoint.
type EndpointRecord struct {
	cwpolicy.Liveness
	// Address is the host and port.
	Address string
	// Pool is the model of an engine or the name of a plain service.
	Pool string
	// Accelerators is the number of accelerators.
	Accelerators float64
	// Report is the latest load report.
	Report cwpolicy.LoadReport
	// LoadedModels lists the models that are ready. Loading is set while a model is being
	// loaded.
	LoadedModels []string
	IsLoading    bool
	// FencingNumber is the highest fencing number that the endpoint has received.
	FencingNumber uint64
	// IsRelayed is set if the latest report came from another instance.
	IsRelayed bool
	// Generation is that of the snapshot in which the record last changed.
	Generation uint64
}

// EndpointReport is a load report of an endpoint with its identity and state.
type EndpointReport struct {
	// Address is the endpoint's host and port.
	Address string
	// Incarnation identifies the process that runs at the address.
	Incarnation uint64
	// IsLeaving is set once the endpoint accepts no new requests.
	IsLeaving bool
	// Report is the load. Its time is by this instance's clock.
	Report cwpolicy.LoadReport
	// LoadedModels, IsLoading and FencingNumber are set for engines, with the same
	// meaning as in EndpointRecord.
	LoadedModels  []string
	IsLoading     bool
	FencingNumber uint64
	// IsPartial is set if the report lacks LoadedModels, IsLoading and FencingNumber.
	IsPartial bool
	// Pool and Accelerators are set in a relayed report, so that an instance without
	// the platform's list can add the endpoint.
	Pool         string
	Accelerators float64
	// IsRelayed is set if the report came from another instance.
	IsRelayed bool
}

// apply applies a report. A relayed report counts as contact at the time of its load.
// It is ignored if that is no later than the last contact, unless it has a newer
// incarnation or reports that the endpoint is leaving.
func (r *EndpointRecord) apply(report EndpointReport, now time.Time) {
	contactAt := now
	if report.IsRelayed {
		contactAt = report.Report.ReportedAt
		if !contactAt.After(r.LastContactAt) && report.Incarnation <= r.Incarnation && !report.IsLeaving {
			return
		}
	}
	if !r.RecordContact(report.Incarnation, report.IsLeaving, contactAt) {
		return
	}
	r.Report, r.IsRelayed = report.Report, report.IsRelayed
	if !report.IsPartial {
		r.LoadedModels, r.IsLoading, r.FencingNumber = report.LoadedModels, report.IsLoading, report.FencingNumber
	}
}
