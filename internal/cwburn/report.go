package cwburn

import "time"

// Report is the service-level report of one instance, or of several merged.
type Report struct {
	// UptimeSeconds is how long the longest-running instance in the report has
	// been counting. Counts are not kept across a restart.
	UptimeSeconds float64 `json:"sinceSeconds"`
	// Series is sorted by service and region.
	Series []SeriesReport `json:"series"`
}

// SeriesReport is the report of one service in one region.
type SeriesReport struct {
	// Service and Region identify the series.
	Service string `json:"service"`
	Region  string `json:"region"`
	// Objective is the fraction of requests that must be good.
	Objective float64 `json:"objective"`
	// Windows holds the counts of each time window, the shortest first.
	Windows []WindowReport `json:"windows"`
	// Reasons holds why requests consumed error budget since the start.
	Reasons []ReasonCount `json:"reasons,omitempty"`
	// FiringAlarms holds the names of the alarms that are firing.
	FiringAlarms []string `json:"firing,omitempty"`
	// BudgetRemaining is the fraction of the error budget that remains in the
	// longest window. It is negative once the budget is exceeded.
	BudgetRemaining float64 `json:"budgetLeft"`
	// FirstByteP50Millis, FirstByteP95Millis and FirstByteP99Millis are percentiles
	// of the time to the first byte.
	FirstByteP50Millis float64 `json:"firstByteP50Millis"`
	FirstByteP95Millis float64 `json:"firstByteP95Millis"`
	FirstByteP99Millis float64 `json:"firstByteP99Millis"`
}

// WindowReport holds the counts of one time window.
type WindowReport struct {
	// Window is the name of the window.
	Window string `json:"window"`
	Counts
	// BurnRate is the rate at which the error budget is consumed. At 1 the budget
	// is consumed exactly.
	BurnRate float64 `json:"rate"`
}

// ReasonCount is the number of requests that consumed error budget for one reason.
type ReasonCount struct {
	// Reason is why the requests consumed budget.
	Reason Reason `json:"reason"`
	// Count is the number of requests since the start.
	Count int64 `json:"count"`
}

// computeBurnRates derives the burn rates, the firing alarms and the remaining
// budget from the counts.
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

// minAlarmBadRequests is the number of bad requests in the long window below which
// no alarm fires. With little traffic, a single failure can exceed the burn rate of every alarm.
const minAlarmBadRequests = 5

func (s *SeriesReport) findWindow(name string) WindowReport {
	for _, w := range s.Windows {
		if w.Window == name {
			return w
		}
	}
	return WindowReport{}
}

// Uptime returns how long the longest-running instance has been counting.
func (r *Report) Uptime() time.Duration {
	return time.Duration(r.UptimeSeconds * float64(time.Second))
}
