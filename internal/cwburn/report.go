package cwburn

import "time"

// Report is the service-level report of one instance, or of several joined.
type Report struct {
	// SinceSeconds is how long the oldest instance in the report has counted. An
	// instance keeps nothing over a restart.
	SinceSeconds float64 `json:"sinceSeconds"`
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
	// Firing are the names of the alarms that hold now.
	Firing []string `json:"firing,omitempty"`
	// BudgetLeft is the fraction of the error budget left over the longest window.
	BudgetLeft float64 `json:"budgetLeft"`
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
	// Rate is how fast the budget burns; 1 uses it up exactly.
	Rate float64 `json:"rate"`
}

// ReasonCount says how many requests burnt budget for a reason.
type ReasonCount struct {
	// Reason is why.
	Reason Reason `json:"reason"`
	// Count is how many since the start.
	Count int64 `json:"count"`
}

// finish computes what follows from the counts.
func (s *SeriesReport) finish() {
	s.Firing = nil
	for i := range s.Windows {
		s.Windows[i].Rate = s.Windows[i].Counts.Rate(s.Objective)
	}
	for _, a := range Alarms() {
		short, long := s.window(a.Short), s.window(a.Long)
		if short.Rate >= a.Rate && long.Rate >= a.Rate && long.Bad >= minAlarmBad {
			s.Firing = append(s.Firing, a.Name)
		}
	}
	s.BudgetLeft = 1 - s.Windows[len(s.Windows)-1].Rate
}

// minAlarmBad is the number of bad requests below which no alarm fires: the first
// failure of a quiet service is no emergency.
const minAlarmBad = 5

func (s *SeriesReport) window(name string) WindowReport {
	for _, w := range s.Windows {
		if w.Window == name {
			return w
		}
	}
	return WindowReport{}
}

// Uptime returns how long the report covers at most.
func (r *Report) Uptime() time.Duration {
	return time.Duration(r.SinceSeconds * float64(time.Second))
}
