package cwplacement

import "time"

// suspicionDuration is how long an endpoint that could not be reached is taken to be cold
// after it is back. By then its new entry, which says how cold it is, has arrived
// or it never restarted.
const suspicionDuration = 6 * time.Second

// restartSuspicion follows whether an endpoint may have restarted without its entry saying
// so yet. A restarted endpoint is cold, and its entry is some seconds late.
type restartSuspicion struct {
	answeredAt    time.Time
	unreachableAt time.Time
}

// answered notes that the endpoint answered this instance.
func (s *restartSuspicion) answered(now time.Time) {
	s.answeredAt = now
}

// suspect notes that the endpoint could not be reached at a time, by this instance
// or another. One that answered this instance since is not suspected for the word of
// another, which may be cut off itself.
func (s *restartSuspicion) suspect(at time.Time) {
	if at.After(s.answeredAt) && at.After(s.unreachableAt) {
		s.unreachableAt = at
	}
}

// isSuspected reports whether the endpoint may be cold although the entry, which was
// read at the given time, doesn't say so.
func (s *restartSuspicion) isSuspected(readAt, now time.Time) bool {
	return s.unreachableAt.After(readAt) && now.Sub(s.unreachableAt) < suspicionDuration
}
