package cwcontrol

import "time"

// Event is a change of the control state.
type Event interface {
	apply(s *state, now time.Time)
}
