package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TicketStatus says what to do with a request that carries a ticket.
type TicketStatus int

const (
	// TicketRun means that this caller may run the request, now and once.
	TicketRun TicketStatus = iota
	// TicketJoin means that the request runs already; wait for its answer.
	TicketJoin
	// TicketEnded means that the request has ended; its outcome is known.
	TicketEnded
	// TicketOwnedElsewhere means that another incarnation owns the ticket.
	TicketOwnedElsewhere
	// TicketInvalid means that the ticket was not made by its issuer.
	TicketInvalid
	// TicketMismatch means that the ticket belongs to another service or account.
	TicketMismatch
	// TicketExpired means that the ticket was never used and can't be any more.
	TicketExpired
	// TicketRecordExpired means that the ticket is so old that nothing is known of it.
	TicketRecordExpired
	// TicketRegistryFull means that no further use can be recorded now.
	TicketRegistryFull
	// TicketHandedOver means that this incarnation has handed its tickets over.
	TicketHandedOver
)

// TicketUse is the record of one used ticket.
type TicketUse struct {
	// ID is the ticket's identifier.
	ID TicketID
	// Expiry is the ticket's expiry.
	Expiry time.Time
	// HasEnded is set once the outcome is known.
	HasEnded bool
	// Outcome is what the callers of the request are told.
	Outcome cwanswer.Outcome
}

// TicketHandover is everything that a successor needs to own tickets.
type TicketHandover struct {
	// Issuer is the incarnation whose tickets these are.
	Issuer uint64
	// Key authenticates the tickets.
	Key TicketKey
	// Uses are the tickets used so far that are not forgotten.
	Uses []TicketUse
}
