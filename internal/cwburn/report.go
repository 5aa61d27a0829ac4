package cwburn

import "time"

// Report is the service-level report of one instance, or of several joined.
type Report struct {
	// UptimeSeconds is how long the oldest instance in the report has counted. An
	// instance keeps nothing over a restart.
	UptimeSeconds float64 `json:"sinceSeconds"`
	// Series are ordered by service and region.
	Series []SeriesReport `json:"series"`
}

// SeriesReport is one service in one region.
type SeriesReport struct {
	// Service and Region name the series.
	Service string `json:"service"`
	Region  string `json:"region"`
	// Objective is the fraction of requests that must be good.
	Objective float64 `json:"objective"`
	// Windows are the counts by span.
	Windows []WindowReport `json:"windows"`
	// Reasons say what burnt the budget since the start.
	Reasons []ReasonCount `json:"reasons,omitempty"`
	// FiringAlarms are the names of the alarms that hold now.
	FiringAlarms []string `json:"firing,omitempty"`
	// BudgetRemaining is the fraction of the error budget left over the longest window.
	BudgetRemaining float64 `json:"budgetLeft"`
	// FirstByteP50Millis and the others are of the time to the first byte.
	FirstByteP50Millis float64 `json:"firstByteP50Millis"`
	FirstByteP95Millis float64 `json:"firstByteP95Millis"`
	FirstByteP99Millis float64 `json:"firstByteP99Millis"`
}

// WindowReport is the counts of one span.
type WindowReport struct {
	// Window is the name of the span.
	Window string `json:"window"`
	Counts
	// BurnRate is how fast the budget burns; 1 uses it up exactly.
	BurnRate float64 `json:"rate"`
}

// ReasonCount says how many requests burnt budget for a reason.
type ReasonCount struct {
	// Reason is why.
	Reason Reason `json:"reason"`
	// Count is how many since the start.
	Count int64 `json:"count"`
}

// computeBurnRates computes what follows from the counts.
func (s *SeriesReport) computeBurnRates() {
	s.FiringAlarms = nil
	for i := range s.Windows {
		s.Windows[i].BurnRate = s.Windows[i].Counts.BurnRate(s.Objective)
	}
	for _, a := range Alarms() {
		short, long := s.findWindow(a.ShortWindow), s.findWindow(a.LongWindow)
		if short.BurnRate >= a.MinBurnRate && long.BurnRate >= a.MinBurnRate && long.Bad >= minAlarmBadRequests {
			s.FiringAlarms = append(s.FiringAlarms, a.Name)
		}
	}
	s.BudgetRemaining = 1 - s.Windows[len(s.Windows)-1].BurnRate
}

// minAlarmBadRequests is the number of bad requests below which no alarm fires: the first
// failure of a quiet service is no emergency.
const minAlarmBadRequests = 5

func (s *SeriesReport) findWindow(name string) WindowReport {
	for _, w := range s.Windows {
		if w.Window == name {
			return w
		}
	}
	return WindowReport{}
}

// Uptime returns how long the report covers at most.
func (r *Report) Uptime() time.Duration {
	return time.Duration(r.UptimeSeconds * float64(time.Second))
}
