package cwdispatch

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Job is one request on its way through an instance.
type Job struct {
	// RequestID identifies the request in logs of every instance.
	RequestID string
	// Service and Account are those of the configuration that let it in.
	Service *cwservice.Service
	Account *cwservice.Account
	// Places are the regions in which it may be served.
	Places cwpolicy.AllowedRegions
	// Method, Path and Query are below the service.
	Method, Path, Query string
	// Header holds the fields that travel to the endpoint.
	Header http.Header
	// Body is the body.
	Body *Body
	// Repeatable is set if more than one attempt may reach an endpoint.
	Repeatable bool
	// Ticket is the ticket of a request that must not be repeated.
	Ticket string
	// TicketID and TicketExpiry are set while this instance owns the ticket.
	TicketID     cwpolicy.TicketID
	TicketExpiry time.Time
	// OwnsTicket is set if dispatch must be allowed by the ticket book.
	OwnsTicket bool
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Arrived is when the request reached this instance.
	Arrived time.Time
	// Hop is the forwarding budget.
	Hop cwpolicy.HopBudget
	// ArrivalRegion is where the caller's request arrived.
	ArrivalRegion string

	demand  cwpolicy.Requirements
	outcome cwanswer.Outcome
	avoid   string
	avoided []string
}

// Served tells how a request went, for logs and the service-level report.
type Served struct {
	// Instance, Endpoint and Region say who served it.
	Instance, Endpoint, Region string
	// Status is that of the endpoint's answer.
	Status int
	// FirstByte is the time from arrival to the first byte of the answer.
	FirstByte time.Duration
	// Attempts is the number of attempts.
	Attempts int
}
