package cwplacement

import "time"

// suspicionDuration is how long an endpoint counts as cold after the last failure to
// reach it. By then its new entry, which states how long it stays cold, has arrived, or
// the endpoint never restarted.
const suspicionDuration = 6 * time.Second

// restartSuspicion tracks whether an endpoint may have restarted before its new entry
// arrives. A restarted endpoint is cold, and its entry is delayed by some seconds.
type restartSuspicion struct {
	answeredAt    time.Time
	unreachableAt time.Time
	// unreachableSince is when the endpoint could first not be reached since its latest answer.
	unreachableSince time.Time
}

// answered records that the endpoint answered this instance.
func (s *restartSuspicion) answered(now time.Time) {
	s.answeredAt = now
}

// suspect records that this or another instance could not reach the endpoint at a time.
// The failure is ignored if the endpoint has answered this instance since, because the
// reporting instance may itself be partitioned.
func (s *restartSuspicion) suspect(at time.Time) {
	if at.After(s.answeredAt) && at.After(s.unreachableAt) {
		s.unreachableAt = at
		if !s.unreachableSince.After(s.answeredAt) {
			s.unreachableSince = at
		}
	}
}

// clearIfListed ends the suspicion against an endpoint that has been unreachable for so long that
// its entry, which is still in the store, would have lapsed if it had ended.
func (s *restartSuspicion) clearIfListed(now time.Time) {
	if s.unreachableSince.After(s.answeredAt) && now.Sub(s.unreachableSince) >= suspicionDuration {
		s.unreachableAt = time.Time{}
	}
}

// isSuspected reports whether the endpoint may be cold although its entry, which was
// read at the given time, doesn't show it.
func (s *restartSuspicion) isSuspected(readAt, now time.Time) bool {
	return s.unreachableAt.After(readAt) && now.Sub(s.unreachableAt) < suspicionDuration
}
