package cwpolicy

import "time"

// Liveness is what is believed about whether one instance or endpoint is there.
// It is embedded wherever a peer's life is followed.
type Liveness struct {
	// Incarnation identifies one process life at the address; 0 if not yet known.
	Incarnation uint64
	// IsLeaving is set once the incarnation said that it leaves, and never cleared
	// for that incarnation.
	IsLeaving bool
	// IsListed is set while the platform's list names the address.
	IsListed bool
	// LastContactAt is when the peer itself last answered.
	LastContactAt time.Time
	// ContactFailedAt is when contact last failed; zero after an answer.
	ContactFailedAt time.Time
}

// RecordContact records an answer by an incarnation. An answer of an older incarnation
// that arrives late is ignored, and Heard then returns false. After a silence a
// lower number is a new life too: the clock that numbers lives may be set back.
func (p *Liveness) RecordContact(incarnation uint64, leaving bool, now time.Time) bool {
	older := incarnation < p.Incarnation
	if older && (p.ContactFailedAt.IsZero() || now.Sub(p.LastContactAt) < MemberContactTimeout) {
		return false
	}
	if incarnation != p.Incarnation {
		p.IsLeaving = false
	}
	p.Incarnation = incarnation
	p.IsLeaving = p.IsLeaving || leaving
	p.LastContactAt = now
	p.ContactFailedAt = time.Time{}
	return true
}

// MarkLeaving records a report by somebody else that an incarnation leaves.
// Incarnation 0 stands for the one that is known now.
func (p *Liveness) MarkLeaving(incarnation uint64) {
	if incarnation == 0 || incarnation == p.Incarnation {
		p.IsLeaving = true
	}
}

// RecordContactFailure records that contact failed.
func (p *Liveness) RecordContactFailure(now time.Time) {
	p.ContactFailedAt = now
}

// IsUsable reports whether new work may go to the peer: it isn't leaving and did
// not stay silent beyond the bound after a failed contact.
func (p *Liveness) IsUsable(now time.Time, silence time.Duration) bool {
	if p.IsLeaving {
		return false
	}
	return p.ContactFailedAt.IsZero() || now.Sub(p.LastContactAt) < silence
}

// IsRemovable reports whether the peer can be dropped from memory: no list names
// it and it has not answered for the time.
func (p *Liveness) IsRemovable(now time.Time, after time.Duration) bool {
	return !p.IsListed && now.Sub(p.LastContactAt) > after
}
