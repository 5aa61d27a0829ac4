package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TicketStatus is the status of the ticket of a request. It determines how the
// request is handled.
type TicketStatus int

const (
	// TicketRun means that the request may be run now, and only by this call.
	TicketRun TicketStatus = iota
	// TicketJoin means that the request is already running. Its response is to be
	// waited for.
	TicketJoin
	// TicketEnded means that the request has ended with the recorded outcome.
	TicketEnded
	// TicketOwnedElsewhere means that this registry does not own the tickets of the
	// issuer. Another one may.
	TicketOwnedElsewhere
	// TicketInvalid means that the ticket is malformed or was not encoded with the key
	// of its issuer.
	TicketInvalid
	// TicketMismatch means that the ticket is for another service or account.
	TicketMismatch
	// TicketExpired means that the ticket was never used and has expired. Later requests
	// with it get TicketEnded.
	TicketExpired
	// TicketRecordExpired means that the ticket is so old that a record of its use would
	// no longer be kept.
	TicketRecordExpired
	// TicketRegistryFull means that the registry cannot record another use now.
	TicketRegistryFull
	// TicketHandedOver means that this incarnation has handed over its tickets.
	TicketHandedOver
)

// TicketUse records the use of a ticket.
type TicketUse struct {
	// ID is the ticket's identifier.
	ID TicketID
	// Expiry is the ticket's expiry.
	Expiry time.Time
	// HasEnded is set once the request has ended, or its registry was handed over.
	HasEnded bool
	// Outcome is the outcome reported to the callers of the request. It is unknown while
	// the request runs.
	Outcome cwanswer.Outcome
}

// TicketHandover is the information that a successor needs to own the tickets of an
// incarnation.
type TicketHandover struct {
	// Issuer is the incarnation whose tickets these are.
	Issuer uint64
	// Key authenticates the tickets.
	Key TicketKey
	// Uses are the recorded uses that are still kept. They are part of only one of the
	// handovers of a registry, the one of its own incarnation.
	Uses []TicketUse
}
