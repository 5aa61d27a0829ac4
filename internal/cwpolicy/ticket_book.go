package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// TicketLife is how long a ticket may be used after it was issued.
	TicketLife = 2 * time.Minute
	// TicketHold is how long a use is remembered past the ticket's expiry.
	TicketHold = 10 * time.Minute
	// MaxTicketUses bounds the uses that one book remembers.
	MaxTicketUses = 100_000
)

// TicketBook issues tickets and records their use. It belongs to one
// incarnation and may own the tickets of others that were handed to it.
type TicketBook struct {
	self     uint64
	key      TicketKey
	owned    map[uint64]TicketKey
	uses     map[TicketID]*TicketUse
	byExpiry expiryHeap
	givenUp  bool
}

// NewTicketBook returns an empty book of an incarnation with its own key.
func NewTicketBook(self uint64, key TicketKey) *TicketBook {
	return &TicketBook{
		self:  self,
		key:   key,
		owned: map[uint64]TicketKey{self: key},
		uses:  make(map[TicketID]*TicketUse),
	}
}

// Issue returns a new ticket, or false once the book was handed over.
func (b *TicketBook) Issue(id TicketID, service, account string, now time.Time) (string, bool) {
	if b.givenUp {
		return "", false
	}
	t := Ticket{ID: id, Issuer: b.self, Expiry: now.Add(TicketLife), Service: service, Account: account}
	return b.key.Encode(t), true
}

// Begin decides on a request with a ticket. TicketRun records the use before the
// caller may send the first byte.
func (b *TicketBook) Begin(encoded, service, account string, now time.Time) (TicketVerdict, *TicketUse) {
	t, err := ParseTicket(encoded)
	if err != nil {
		return TicketForged, nil
	}
	key, ok := b.owned[t.Issuer]
	if !ok {
		return TicketElsewhere, nil
	}
	if !key.Authentic(encoded) {
		return TicketForged, nil
	}
	if t.Service != service || t.Account != account {
		return TicketMismatch, nil
	}
	if b.givenUp {
		return TicketGivenUp, nil
	}
	return b.use(t, now)
}

func (b *TicketBook) use(t Ticket, now time.Time) (TicketVerdict, *TicketUse) {
	b.purge(now)
	if use := b.uses[t.ID]; use != nil {
		if use.Ended {
			return TicketDone, use
		}
		return TicketJoin, use
	}
	// Within the hold time a missing record proves that the ticket was never used.
	if now.After(t.Expiry.Add(TicketHold)) {
		return TicketForgotten, nil
	}
	if len(b.uses) >= MaxTicketUses {
		return TicketFull, nil
	}
	use := &TicketUse{ID: t.ID, Expiry: t.Expiry, Outcome: cwanswer.Unknown}
	b.record(use)
	if !now.Before(t.Expiry) {
		// Recorded as ended, because a successor whose clock is behind would
		// otherwise run what was just called not run.
		use.Ended, use.Outcome = true, cwanswer.NotRun
		return TicketExpired, nil
	}
	return TicketRun, use
}

// MayDispatch is asked right before the first byte goes to an endpoint. It is
// false once the ticket has expired or the book was handed over.
func (b *TicketBook) MayDispatch(id TicketID, now time.Time) bool {
	use := b.uses[id]
	return use != nil && !use.Ended && !b.givenUp && now.Before(use.Expiry)
}

// End records the outcome of a used ticket.
func (b *TicketBook) End(id TicketID, outcome cwanswer.Outcome) {
	if use := b.uses[id]; use != nil && !use.Ended {
		use.Ended, use.Outcome = true, outcome
	}
}

// GiveUp ends this book's right to run anything, for good, and returns what a
// successor needs. Running requests are handed over as used with outcome unknown.
func (b *TicketBook) GiveUp(now time.Time) []TicketHandover {
	b.givenUp = true
	b.purge(now)
	uses := make([]TicketUse, 0, len(b.uses))
	for _, use := range b.uses {
		copied := *use
		copied.Ended = true
		uses = append(uses, copied)
	}
	handovers := make([]TicketHandover, 0, len(b.owned))
	for issuer, key := range b.owned {
		h := TicketHandover{Issuer: issuer, Key: key}
		if issuer == b.self {
			h.Uses = uses
		}
		handovers = append(handovers, h)
	}
	return handovers
}

// Adopt takes over the tickets of another incarnation. The same handover may
// come again with more outcomes. It returns false if this book was itself
// handed over.
func (b *TicketBook) Adopt(h TicketHandover) bool {
	if b.givenUp {
		return false
	}
	for _, use := range h.Uses {
		b.adoptUse(use)
	}
	b.owned[h.Issuer] = h.Key
	return true
}

// adoptUse records a use, or settles one whose outcome was unknown when it was
// first handed over.
func (b *TicketBook) adoptUse(use TicketUse) {
	known := b.uses[use.ID]
	if known == nil {
		b.record(&use)
		return
	}
	if known.Ended && known.Outcome == cwanswer.Unknown {
		known.Outcome = use.Outcome
	}
}

// Owns reports whether the book owns the tickets of the incarnation.
func (b *TicketBook) Owns(issuer uint64) bool {
	_, ok := b.owned[issuer]
	return ok && !b.givenUp
}

func (b *TicketBook) record(use *TicketUse) {
	b.uses[use.ID] = use
	b.byExpiry.push(use)
}

func (b *TicketBook) purge(now time.Time) {
	for len(b.byExpiry) > 0 {
		oldest := b.byExpiry[0]
		if !now.After(oldest.Expiry.Add(TicketHold)) {
			return
		}
		b.byExpiry.pop()
		delete(b.uses, oldest.ID)
	}
}
