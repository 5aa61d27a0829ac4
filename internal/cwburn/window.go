package cwburn

import "time"

// Window is a time window over which the use of error budget is reported.
type Window struct {
	// Name is the short name in reports, such as 5m.
	Name string
	// Duration is the length of the window.
	Duration time.Duration
}

// Windows returns the windows of the report, the shortest first.
func Windows() []Window {
	return []Window{
		{Name: "5m", Duration: 5 * time.Minute},
		{Name: "30m", Duration: 30 * time.Minute},
		{Name: "1h", Duration: time.Hour},
		{Name: "6h", Duration: 6 * time.Hour},
		{Name: "3d", Duration: 72 * time.Hour},
	}
}

// Alarm fires if the burn rates of a short and a long window both reach
// MinBurnRate.
type Alarm struct {
	// Name is page or ticket.
	Name string
	// ShortWindow and LongWindow are names of windows.
	ShortWindow, LongWindow string
	// MinBurnRate is the burn rate from which the alarm fires, as a multiple of the
	// rate that consumes the budget exactly.
	MinBurnRate float64
}

// Alarms returns the alarms that are evaluated.
func Alarms() []Alarm {
	return []Alarm{
		{Name: "page", ShortWindow: "5m", LongWindow: "1h", MinBurnRate: 14.4},
		{Name: "ticket", ShortWindow: "30m", LongWindow: "6h", MinBurnRate: 6},
	}
}
