package cwcontrol

import "time"

// Event is something that changes the control state.
type Event interface {
	apply(s *state, now time.Time)
}
