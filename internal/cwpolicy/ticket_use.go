package cwpolicy

import (
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TicketVerdict says what to do with a request that carries a ticket.
type TicketVerdict int

const (
	// TicketRun means that this caller may run the request, now and once.
	TicketRun TicketVerdict = iota
	// TicketJoin means that the request runs already; wait for its answer.
	TicketJoin
	// TicketDone means that the request has ended; its outcome is known.
	TicketDone
	// TicketElsewhere means that another incarnation owns the ticket.
	TicketElsewhere
	// TicketForged means that the ticket was not made by its issuer.
	TicketForged
	// TicketMismatch means that the ticket belongs to another service or account.
	TicketMismatch
	// TicketExpired means that the ticket was never used and can't be any more.
	TicketExpired
	// TicketForgotten means that the ticket is so old that nothing is known of it.
	TicketForgotten
	// TicketFull means that no further use can be recorded now.
	TicketFull
	// TicketGivenUp means that this incarnation has handed its tickets over.
	TicketGivenUp
)

// TicketUse is the record of one used ticket.
type TicketUse struct {
	// ID is the ticket's identifier.
	ID TicketID
	// Expiry is the ticket's expiry.
	Expiry time.Time
	// Ended is set once the outcome is known.
	Ended bool
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
