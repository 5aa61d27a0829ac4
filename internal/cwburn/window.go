package cwburn

import "time"

// Window is a span of time over which budget use is told.
type Window struct {
	// Name is the short form, such as 5m.
	Name string
	// Duration is the length.
	Duration time.Duration
}

// Windows returns the spans of the report, the shortest first.
func Windows() []Window {
	return []Window{
		{Name: "5m", Duration: 5 * time.Minute},
		{Name: "30m", Duration: 30 * time.Minute},
		{Name: "1h", Duration: time.Hour},
		{Name: "6h", Duration: 6 * time.Hour},
		{Name: "3d", Duration: 72 * time.Hour},
	}
}

// Alarm is a pair of windows that must both burn faster than a rate.
type Alarm struct {
	// Name is page or ticket.
	Name string
	// ShortWindow and Long are window names.
	ShortWindow, LongWindow string
	// MinBurnRate is the multiple of the rate that would use the budget up exactly.
	MinBurnRate float64
}

// Alarms returns the pairs that are watched.
func Alarms() []Alarm {
	return []Alarm{
		{Name: "page", ShortWindow: "5m", LongWindow: "1h", MinBurnRate: 14.4},
		{Name: "ticket", ShortWindow: "30m", LongWindow: "6h", MinBurnRate: 6},
	}
}
