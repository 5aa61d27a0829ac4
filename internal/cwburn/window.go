package cwburn

import "time"

// Window is a span of time over which budget use is told.
type Window struct {
	// Name is the short form, such as 5m.
	Name string
	// Span is the length.
	Span time.Duration
}

// Windows returns the spans of the report, the shortest first.
func Windows() []Window {
	return []Window{
		{Name: "5m", Span: 5 * time.Minute},
		{Name: "30m", Span: 30 * time.Minute},
		{Name: "1h", Span: time.Hour},
		{Name: "6h", Span: 6 * time.Hour},
		{Name: "3d", Span: 72 * time.Hour},
	}
}

// Alarm is a pair of windows that must both burn faster than a rate.
type Alarm struct {
	// Name is page or ticket.
	Name string
	// Short and Long are window names.
	Short, Long string
	// Rate is the multiple of the rate that would use the budget up exactly.
	Rate float64
}

// Alarms returns the pairs that are watched.
func Alarms() []Alarm {
	return []Alarm{
		{Name: "page", Short: "5m", Long: "1h", Rate: 14.4},
		{Name: "ticket", Short: "30m", Long: "6h", Rate: 6},
	}
}
