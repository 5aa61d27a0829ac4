package cwplacement

import "time"

// suspicionDuration is how long an endpoint counts as cold after the last failure to
// reach it. By then its new entry, which states how long it stays cold, has arrived, or
// the endpoint never restarted.
const suspicionDuration = 6 * time.Second

// restartSuspicion tracks whether an endpoint may have restarted before its new entry
// arrives. A restarted endpoint is cold, and its entry is delayed by some seconds.
type restartSuspicion struct {
	answeredAt time.Time
	// unreachableAt is when this instance last could not reach the endpoint, peerUnreachableAt when
	// another one could not, and cutOffUnreachableAt when one that is cut off from all endpoints
	// could not.
	unreachableAt, peerUnreachableAt, cutOffUnreachableAt time.Time
	// unreachableSince is the first of these times since the latest answer.
	unreachableSince time.Time
	// replacedAt is when its process may have been replaced, without a moment in which it could not be
	// reached.
	replacedAt time.Time
}

// answered records that the endpoint answered this instance.
func (s *restartSuspicion) answered(now time.Time) {
	s.answeredAt = now
}

// suspect records that the endpoint could not be reached at a time, in the field for those who
// could not. The failure is ignored if the endpoint has answered this instance since, because the
// reporting instance may itself be partitioned.
func (s *restartSuspicion) suspect(latest *time.Time, at time.Time) {
	if !at.After(s.answeredAt) || !at.After(*latest) {
		return
	}
	*latest = at
	if !s.unreachableSince.After(s.answeredAt) {
		s.unreachableSince = at
	}
}

// isSuspected reports whether the endpoint may be cold although its entry, which was
// read at the given time, doesn't show it.
func (s *restartSuspicion) isSuspected(readAt, now time.Time) bool {
	for _, at := range [...]time.Time{s.unreachableAt, s.peerUnreachableAt, s.cutOffUnreachableAt} {
		if at.After(readAt) && now.Sub(at) < suspicionDuration {
			return true
		}
	}
	return false
}

// replacementDuration is how long the version of an endpoint is uncertain that may have been replaced: by
// then its new entry has arrived, after an interval of heartbeats and the time to read it.
const replacementDuration = 3 * time.Second

// mayBeReplaced reports whether the endpoint may have been replaced since its entry was read, at a time
// that is not after by.
func (s *restartSuspicion) mayBeReplaced(readAt, by, now time.Time) bool {
	return s.replacedAt.After(readAt) && !s.replacedAt.After(by) && now.Sub(s.replacedAt) < replacementDuration
}

// clearCutOff ends the suspicions of this instance, while it was cut off from all endpoints, and of
// others that are.
func (s *restartSuspicion) clearCutOff() {
	s.unreachableAt, s.cutOffUnreachableAt = time.Time{}, time.Time{}
}

// clearIfListed ends the suspicion against an endpoint that has been unreachable for so long that
// its entry, which is still in the store, would have lapsed if it had ended.
func (s *restartSuspicion) clearIfListed(now time.Time) {
	if s.unreachableSince.After(s.answeredAt) && now.Sub(s.unreachableSince) >= suspicionDuration {
		s.clearCutOff()
		s.peerUnreachableAt = time.Time{}
	}
}
