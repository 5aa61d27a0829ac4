package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// TicketLifetime is the time from the issue of a ticket to its expiry.
	TicketLifetime = 2 * time.Minute
	// TicketUseRetention is how long a use is kept after the ticket's expiry.
	TicketUseRetention = 10 * time.Minute
	// MaxTicketUses is the number of recorded uses from which on a registry begins no
	// further one.
	MaxTicketUses = 100_000
)

// TicketRegistry issues tickets and records their uses. It belongs to one
// incarnation and can also own tickets of others that were handed over to it.
type TicketRegistry struct {
	self         uint64
	key          TicketKey
	ownedKeys    map[uint64]TicketKey
	uses         map[TicketID]*TicketUse
	byExpiry     expiryHeap
	isHandedOver bool
}

// NewTicketRegistry returns an empty registry for the incarnation self with its key.
func NewTicketRegistry(self uint64, key TicketKey) *TicketRegistry {
	return &TicketRegistry{
		self:      self,
		key:       key,
		ownedKeys: map[uint64]TicketKey{self: key},
		uses:      make(map[TicketID]*TicketUse),
	}
}

// Issue returns a new ticket, or false once the registry has been handed over.
func (r *TicketRegistry) Issue(id TicketID, service, account string, now time.Time) (string, bool) {
	if r.isHandedOver {
		return "", false
	}
	t := Ticket{ID: id, Issuer: r.self, Expiry: now.Add(TicketLifetime), Service: service, Account: account}
	return r.key.Encode(t), true
}

// Begin returns the status of the ticket of a request, and its use for TicketRun,
// TicketJoin and TicketEnded. For TicketRun it also records the use, before any byte of
// the request is sent to an endpoint.
func (r *TicketRegistry) Begin(encoded, service, account string, now time.Time) (TicketStatus, *TicketUse) {
	t, err := ParseTicket(encoded)
	if err != nil {
		return TicketInvalid, nil
	}
	key, ok := r.ownedKeys[t.Issuer]
	if !ok {
		return TicketOwnedElsewhere, nil
	}
	if !key.IsAuthentic(encoded) {
		return TicketInvalid, nil
	}
	if t.Service != service || t.Account != account {
		return TicketMismatch, nil
	}
	if r.isHandedOver {
		return TicketHandedOver, nil
	}
	return r.beginUse(t, now)
}

func (r *TicketRegistry) beginUse(t Ticket, now time.Time) (TicketStatus, *TicketUse) {
	r.purge(now)
	if use := r.uses[t.ID]; use != nil {
		if use.HasEnded {
			return TicketEnded, use
		}
		return TicketJoin, use
	}
	// Within the retention time a missing record proves that the ticket was never used.
	if now.After(t.Expiry.Add(TicketUseRetention)) {
		return TicketRecordExpired, nil
	}
	if len(r.uses) >= MaxTicketUses {
		return TicketRegistryFull, nil
	}
	use := &TicketUse{ID: t.ID, Expiry: t.Expiry, Outcome: cwanswer.Unknown}
	r.record(use)
	if !now.Before(t.Expiry) {
		// The use is recorded as ended. Otherwise a successor whose clock is behind
		// could run the request after it was reported as not run.
		use.HasEnded, use.Outcome = true, cwanswer.NotRun
		return TicketExpired, nil
	}
	return TicketRun, use
}

// MayDispatch reports whether the request may be sent. It must be called right before
// the first byte is sent to an endpoint. It returns false once the request has
// ended, the ticket has expired or the registry has been handed over.
func (r *TicketRegistry) MayDispatch(id TicketID, now time.Time) bool {
	use := r.uses[id]
	return use != nil && !use.HasEnded && !r.isHandedOver && now.Before(use.Expiry)
}

// End records the outcome of a request with a ticket, unless one was recorded before.
func (r *TicketRegistry) End(id TicketID, outcome cwanswer.Outcome) {
	if use := r.uses[id]; use != nil && !use.HasEnded {
		use.HasEnded, use.Outcome = true, outcome
	}
}

// HandOver permanently ends the ownership of all tickets and returns the handovers
// for a successor. Running requests are handed over as ended with an unknown outcome.
// The handovers of a further call include the outcomes recorded since.
func (r *TicketRegistry) HandOver(now time.Time) []TicketHandover {
	r.isHandedOver = true
	r.purge(now)
	uses := make([]TicketUse, 0, len(r.uses))
	for _, use := range r.uses {
		copied := *use
		copied.HasEnded = true
		uses = append(uses, copied)
	}
	handovers := make([]TicketHandover, 0, len(r.ownedKeys))
	for issuer, key := range r.ownedKeys {
		handover := TicketHandover{Issuer: issuer, Key: key}
		if issuer == r.self {
			handover.Uses = uses
		}
		handovers = append(handovers, handover)
	}
	return handovers
}

// TakeOver takes over the tickets of another incarnation. A repeated handover adds the
// outcomes that were unknown before. It returns false if this registry has itself been
// handed over.
func (r *TicketRegistry) TakeOver(handover TicketHandover) bool {
	if r.isHandedOver {
		return false
	}
	for _, use := range handover.Uses {
		r.mergeUse(use)
	}
	r.ownedKeys[handover.Issuer] = handover.Key
	return true
}

// mergeUse records a use, or sets the outcome of one that was first handed over with
// an unknown outcome.
func (r *TicketRegistry) mergeUse(use TicketUse) {
	known := r.uses[use.ID]
	if known == nil {
		r.record(&use)
		return
	}
	if known.HasEnded && known.Outcome == cwanswer.Unknown {
		known.Outcome = use.Outcome
	}
}

// Owns reports whether the registry owns the tickets of the incarnation.
func (r *TicketRegistry) Owns(issuer uint64) bool {
	_, ok := r.ownedKeys[issuer]
	return ok && !r.isHandedOver
}

func (r *TicketRegistry) record(use *TicketUse) {
	r.uses[use.ID] = use
	r.byExpiry.push(use)
}

func (r *TicketRegistry) purge(now time.Time) {
	for len(r.byExpiry) > 0 {
		oldest := r.byExpiry[0]
		if !now.After(oldest.Expiry.Add(TicketUseRetention)) {
			return
		}
		r.byExpiry.pop()
		delete(r.uses, oldest.ID)
	}
}
