package cwpolicy

import "time"

// Presence is what is believed about whether one instance or endpoint is there.
// It is embedded wherever a peer's life is followed.
type Presence struct {
	// Incarnation identifies one process life at the address; 0 if not yet known.
	Incarnation uint64
	// Leaving is set once the incarnation said that it leaves, and never cleared
	// for that incarnation.
	Leaving bool
	// Listed is set while the platform's list names the address.
	Listed bool
	// HeardAt is when the peer itself last answered.
	HeardAt time.Time
	// FailedAt is when contact last failed; zero after an answer.
	FailedAt time.Time
}

// Heard records an answer by an incarnation. An answer of an older incarnation
// that arrives late is ignored, and Heard then returns false. After a silence a
// lower number is a new life too: the clock that numbers lives may be set back.
func (p *Presence) Heard(incarnation uint64, leaving bool, now time.Time) bool {
	older := incarnation < p.Incarnation
	if older && (p.FailedAt.IsZero() || now.Sub(p.HeardAt) < MemberSilence) {
		return false
	}
	if incarnation != p.Incarnation {
		p.Leaving = false
	}
	p.Incarnation = incarnation
	p.Leaving = p.Leaving || leaving
	p.HeardAt = now
	p.FailedAt = time.Time{}
	return true
}

// MarkLeaving records a report by somebody else that an incarnation leaves.
// Incarnation 0 stands for the one that is known now.
func (p *Presence) MarkLeaving(incarnation uint64) {
	if incarnation == 0 || incarnation == p.Incarnation {
		p.Leaving = true
	}
}

// Failed records that contact failed.
func (p *Presence) Failed(now time.Time) {
	p.FailedAt = now
}

// Usable reports whether new work may go to the peer: it isn't leaving and did
// not stay silent beyond the bound after a failed contact.
func (p *Presence) Usable(now time.Time, silence time.Duration) bool {
	if p.Leaving {
		return false
	}
	return p.FailedAt.IsZero() || now.Sub(p.HeardAt) < silence
}

// Forgettable reports whether the peer can be dropped from memory: no list names
// it and it has not answered for the time.
func (p *Presence) Forgettable(now time.Time, after time.Duration) bool {
	return !p.Listed && now.Sub(p.HeardAt) > after
}
