package cwcontrol

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// EndpointRecord is what control knows of one endpoint.
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
	// Loaded are the models that are ready; Loading is set while one is not.
	Loaded  []string
	Loading bool
	// Fence is the highest fencing number that the endpoint has seen.
	Fence uint64
	// Relayed is set if another instance passed the latest report on.
	Relayed bool
	// Generation rises with each change of this record.
	Generation uint64
}

// EndpointReport is a load report with the endpoint's life signs.
type EndpointReport struct {
	// Address is the endpoint's host and port.
	Address string
	// Incarnation identifies the endpoint's process life.
	Incarnation uint64
	// IsLeaving is set once the endpoint takes no new work.
	IsLeaving bool
	// Report is the load; its time is by this instance's clock.
	Report cwpolicy.LoadReport
	// LoadedModels, Loading and Fence describe engines.
	LoadedModels  []string
	IsLoading     bool
	FencingNumber uint64
	// Partial is set if the report does not tell what is loaded.
	Partial bool
	// Pool and Accelerators are set in a relayed report, so that an instance
	// without the platform's list learns of the endpoint.
	Pool         string
	Accelerators float64
	// Relayed is set if another instance passed the report on.
	Relayed bool
}

func (r *EndpointRecord) apply(report EndpointReport, now time.Time) {
	heardAt := now
	if report.Relayed {
		heardAt = report.Report.ReportedAt
		if !heardAt.After(r.LastContactAt) && report.Incarnation <= r.Incarnation && !report.IsLeaving {
			return
		}
	}
	if !r.RecordContact(report.Incarnation, report.IsLeaving, heardAt) {
		return
	}
	r.Report, r.Relayed = report.Report, report.Relayed
	if !report.Partial {
		r.Loaded, r.Loading, r.Fence = report.LoadedModels, report.IsLoading, report.FencingNumber
	}
}
