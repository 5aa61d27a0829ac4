package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// TicketLifetime is how long a ticket may be used after it was issued.
	TicketLifetime = 2 * time.Minute
	// TicketUseRetention is how long a use is remembered past the ticket's expiry.
	TicketUseRetention = 10 * time.Minute
	// MaxTicketUses bounds the uses that one book remembers.
	MaxTicketUses = 100_000
)

// TicketRegistry issues tickets and records their use. It belongs to one
// incarnation and may own the tickets of others that were handed to it.
type TicketRegistry struct {
	self         uint64
	key          TicketKey
	ownedKeys    map[uint64]TicketKey
	uses         map[TicketID]*TicketUse
	byExpiry     expiryHeap
	isHandedOver bool
}

// NewTicketRegistry returns an empty book of an incarnation with its own key.
func NewTicketRegistry(self uint64, key TicketKey) *TicketRegistry {
	return &TicketRegistry{
		self:      self,
		key:       key,
		ownedKeys: map[uint64]TicketKey{self: key},
		uses:      make(map[TicketID]*TicketUse),
	}
}

// Issue returns a new ticket, or false once the book was handed over.
func (b *TicketRegistry) Issue(id TicketID, service, account string, now time.Time) (string, bool) {
	if b.isHandedOver {
		return "", false
	}
	t := Ticket{ID: id, Issuer: b.self, Expiry: now.Add(TicketLifetime), Service: service, Account: account}
	return b.key.Encode(t), true
}

// Begin decides on a request with a ticket. TicketRun records the use before the
// caller may send the first byte.
func (b *TicketRegistry) Begin(encoded, service, account string, now time.Time) (TicketStatus, *TicketUse) {
	t, err := ParseTicket(encoded)
	if err != nil {
		return TicketInvalid, nil
	}
	key, ok := b.ownedKeys[t.Issuer]
	if !ok {
		return TicketOwnedElsewhere, nil
	}
	if !key.IsAuthentic(encoded) {
		return TicketInvalid, nil
	}
	if t.Service != service || t.Account != account {
		return TicketMismatch, nil
	}
	if b.isHandedOver {
		return TicketHandedOver, nil
	}
	return b.beginUse(t, now)
}

func (b *TicketRegistry) beginUse(t Ticket, now time.Time) (TicketStatus, *TicketUse) {
	b.purge(now)
	if use := b.uses[t.ID]; use != nil {
		if use.HasEnded {
			return TicketEnded, use
		}
		return TicketJoin, use
	}
	// Within the hold time a missing record proves that the ticket was never used.
	if now.After(t.Expiry.Add(TicketUseRetention)) {
		return TicketRecordExpired, nil
	}
	if len(b.uses) >= MaxTicketUses {
		return TicketRegistryFull, nil
	}
	use := &TicketUse{ID: t.ID, Expiry: t.Expiry, Outcome: cwanswer.Unknown}
	b.record(use)
	if !now.Before(t.Expiry) {
		// Recorded as ended, because a successor whose clock is behind would
		// otherwise run what was just called not run.
		use.HasEnded, use.Outcome = true, cwanswer.NotRun
		return TicketExpired, nil
	}
	return TicketRun, use
}

// MayDispatch is asked right before the first byte goes to an endpoint. It is
// false once the ticket has expired or the book was handed over.
func (b *TicketRegistry) MayDispatch(id TicketID, now time.Time) bool {
	use := b.uses[id]
	return use != nil && !use.HasEnded && !b.isHandedOver && now.Before(use.Expiry)
}

// End records the outcome of a used ticket.
func (b *TicketRegistry) End(id TicketID, outcome cwanswer.Outcome) {
	if use := b.uses[id]; use != nil && !use.HasEnded {
		use.HasEnded, use.Outcome = true, outcome
	}
}

// HandOver ends this book's right to run anything, for good, and returns what a
// successor needs. Running requests are handed over as used with outcome unknown.
func (b *TicketRegistry) HandOver(now time.Time) []TicketHandover {
	b.isHandedOver = true
	b.purge(now)
	uses := make([]TicketUse, 0, len(b.uses))
	for _, use := range b.uses {
		copied := *use
		copied.HasEnded = true
		uses = append(uses, copied)
	}
	handovers := make([]TicketHandover, 0, len(b.ownedKeys))
	for issuer, key := range b.ownedKeys {
		h := TicketHandover{Issuer: issuer, Key: key}
		if issuer == b.self {
			h.Uses = uses
		}
		handovers = append(handovers, h)
	}
	return handovers
}

// TakeOver takes over the tickets of another incarnation. The same handover may
// come again with more outcomes. It returns false if this book was itself
// handed over.
func (b *TicketRegistry) TakeOver(h TicketHandover) bool {
	if b.isHandedOver {
		return false
	}
	for _, use := range h.Uses {
		b.mergeUse(use)
	}
	b.ownedKeys[h.Issuer] = h.Key
	return true
}

// mergeUse records a use, or settles one whose outcome was unknown when it was
// first handed over.
func (b *TicketRegistry) mergeUse(use TicketUse) {
	known := b.uses[use.ID]
	if known == nil {
		b.record(&use)
		return
	}
	if known.HasEnded && known.Outcome == cwanswer.Unknown {
		known.Outcome = use.Outcome
	}
}

// Owns reports whether the book owns the tickets of the incarnation.
func (b *TicketRegistry) Owns(issuer uint64) bool {
	_, ok := b.ownedKeys[issuer]
	return ok && !b.isHandedOver
}

func (b *TicketRegistry) record(use *TicketUse) {
	b.uses[use.ID] = use
	b.byExpiry.push(use)
}

func (b *TicketRegistry) purge(now time.Time) {
	for len(b.byExpiry) > 0 {
		oldest := b.byExpiry[0]
		if !now.After(oldest.Expiry.Add(TicketUseRetention)) {
			return
		}
		b.byExpiry.pop()
		delete(b.uses, oldest.ID)
	}
}
