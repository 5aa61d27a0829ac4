package cwpolicy

import "time"

const (
	// takeoverMargin is how much later another instance must have begun to leave to count as
	// the last one of its region. Instances learn of each other's leaving with a delay.
	takeoverMargin = time.Second
	// returnTimeout is how long after it began to leave an instance is expected back.
	returnTimeout = 20 * time.Second
)

// RegionTakeover says which instance serves a region while all of its instances are leaving,
// as they do if they are restarted one after the other: the one that began to leave last.
type RegionTakeover struct {
	// Acceptance is how long the last instance of a region accepts connections after it
	// began to leave, if no other one becomes usable before.
	Acceptance time.Duration
}

// MustAccept reports whether self, which is leaving, must go on accepting connections: no
// other instance of its region is usable or began to leave later, and one that left before is
// expected back.
func (t RegionTakeover) MustAccept(self *Member, others []Member, now time.Time) bool {
	if now.Sub(self.LeavingSince) >= t.Acceptance {
		return false
	}
	isOneExpected := false
	for i := range others {
		m := &others[i]
		if m.Region != self.Region || m.Incarnation == 0 {
			continue
		}
		if m.IsUsable(now, MemberContactTimeout) || m.LeavingSince.After(self.LeavingSince.Add(takeoverMargin)) {
			return false
		}
		isOneExpected = isOneExpected || !m.LeavingSince.IsZero() && now.Sub(m.LeavingSince) < returnTimeout
	}
	return isOneExpected
}

// LastLeaving returns those of the members that accept connections although they are leaving,
// for callers who keep the response for the given time.
func (t RegionTakeover) LastLeaving(members []Member, keptFor time.Duration, now time.Time) []Member {
	latest := time.Time{}
	for i := range members {
		if since := members[i].LeavingSince; since.After(latest) {
			latest = since
		}
	}
	var last []Member
	for i := range members {
		m := &members[i]
		if m.IsLeaving && !m.LeavingSince.IsZero() && !m.LeavingSince.Before(latest.Add(-takeoverMargin)) && now.Sub(m.LeavingSince) < t.Acceptance-keptFor {
			last = append(last, *m)
		}
	}
	return last
}
