package cwburn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Recorder counts the requests of one instance by service and region. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	series    map[seriesKey]*series
}

type seriesKey struct {
	service, region string
}

// NewRecorder returns a recorder that starts counting at now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{startedAt: now, series: make(map[seriesKey]*series)}
}

// Observe counts one request against the targets of its service. An otherwise good
// request whose first byte came after the target counts as slow.
func (r *Recorder) Observe(o Observation, targets cwservice.Targets, now time.Time) {
	if o.Reason == ReasonNone && o.FirstByte > targets.FirstToken() {
		o.Reason = ReasonSlow
	}
	key := seriesKey{service: o.Service, region: o.Region}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[key]
	if s == nil {
		s = newSeries()
		r.series[key] = s
	}
	s.record(o, targets.Objective, now)
}

// Report returns the report as of now.
func (r *Recorder) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{UptimeSeconds: now.Sub(r.startedAt).Seconds()}
	for key, s := range r.series {
		report.Series = append(report.Series, s.report(key, now))
	}
	slices.SortFunc(report.Series, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return report
}

func (s *series) report(key seriesKey, now time.Time) SeriesReport {
	out := SeriesReport{Service: key.service, Region: key.region, Objective: s.objective}
	for _, w := range Windows() {
		out.Windows = append(out.Windows, WindowReport{Window: w.Name, Counts: s.sum(w.Duration, now)})
	}
	for reason, n := range s.reasons {
		out.Reasons = append(out.Reasons, ReasonCount{Reason: reason, Count: n})
	}
	slices.SortFunc(out.Reasons, func(a, b ReasonCount) int { return cmp.Compare(b.Count, a.Count) })
	out.FirstByteP50Millis = float64(s.firstByte.ValueAtQuantile(50)) / 1000
	out.FirstByteP95Millis = float64(s.firstByte.ValueAtQuantile(95)) / 1000
	out.FirstByteP99Millis = float64(s.firstByte.ValueAtQuantile(99)) / 1000
	out.computeBurnRates()
	return out
}
