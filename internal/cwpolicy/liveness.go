package cwpolicy

import "time"

// Liveness is the liveness state of one instance or endpoint. It is embedded in the
// types that describe them.
type Liveness struct {
	// Incarnation identifies the process that runs at the address; 0 if not yet known.
	Incarnation uint64
	// IsLeaving is set once the incarnation is reported to be leaving. It is never
	// cleared for that incarnation.
	IsLeaving bool
	// IsListed is set while the platform's list contains the address.
	IsListed bool
	// LastContactAt is when the instance or endpoint itself last responded, or when it
	// was added if it has not responded yet.
	LastContactAt time.Time
	// ContactFailedAt is when contact last failed; zero after a response.
	ContactFailedAt time.Time
}

// RecordContact records a response of an incarnation. It ignores a delayed response
// of an older incarnation and then returns false. If contact has failed and the last
// response is at least MemberContactTimeout old, a lower number is accepted as a new
// incarnation: incarnations are numbered by the time of their start, and the clock may
// have been set back.
func (l *Liveness) RecordContact(incarnation uint64, isLeaving bool, now time.Time) bool {
	isOlder := incarnation < l.Incarnation
	if isOlder && (l.ContactFailedAt.IsZero() || now.Sub(l.LastContactAt) < MemberContactTimeout) {
		return false
	}
	if incarnation != l.Incarnation {
		l.IsLeaving = false
	}
	l.Incarnation = incarnation
	l.IsLeaving = l.IsLeaving || isLeaving
	l.LastContactAt = now
	l.ContactFailedAt = time.Time{}
	return true
}

// MarkLeaving records a third-party report that an incarnation is leaving.
// Incarnation 0 stands for the current one.
func (l *Liveness) MarkLeaving(incarnation uint64) {
	if incarnation == 0 || incarnation == l.Incarnation {
		l.IsLeaving = true
	}
}

// RecordContactFailure records a failed attempt to contact the instance or endpoint.
func (l *Liveness) RecordContactFailure(now time.Time) {
	l.ContactFailedAt = now
}

// IsUsable reports whether new work may be sent to the instance or endpoint: it is
// not leaving, and either contact has not failed since its last response or that
// response is more recent than the timeout.
func (l *Liveness) IsUsable(now time.Time, contactTimeout time.Duration) bool {
	if l.IsLeaving {
		return false
	}
	return l.ContactFailedAt.IsZero() || now.Sub(l.LastContactAt) < contactTimeout
}

// IsRemovable reports whether the instance or endpoint can be removed: it is not
// listed and has not responded for longer than the retention.
func (l *Liveness) IsRemovable(now time.Time, retention time.Duration) bool {
	return !l.IsListed && now.Sub(l.LastContactAt) > retention
}
