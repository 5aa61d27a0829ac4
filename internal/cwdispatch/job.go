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
	// AllowedRegions are the regions in which it may be served.
	AllowedRegions cwpolicy.AllowedRegions
	// Method, Path and Query are below the service.
	Method, Path, Query string
	// Header holds the fields that travel to the endpoint.
	Header http.Header
	// Body is the body.
	Body *Body
	// IsRepeatable is set if more than one attempt may reach an endpoint.
	IsRepeatable bool
	// Ticket is the ticket of a request that must not be repeated.
	Ticket string
	// TicketID and TicketExpiry are set while this instance owns the ticket.
	TicketID     cwpolicy.TicketID
	TicketExpiry time.Time
	// OwnsTicket is set if dispatch must be allowed by the ticket book.
	OwnsTicket bool
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// ArrivedAt is when the request reached this instance.
	ArrivedAt time.Time
	// HopBudget is the forwarding budget.
	HopBudget cwpolicy.HopBudget
	// ArrivalRegion is where the caller's request arrived.
	ArrivalRegion string

	demand           cwpolicy.Requirements
	outcome          cwanswer.Outcome
	excludedEndpoint string
	excludedDomains  []string
}

// ServeResult tells how a request went, for logs and the service-level report.
type ServeResult struct {
	// Instance, Endpoint and Region say who served it.
	Instance, Endpoint, Region string
	// Status is that of the endpoint's answer.
	Status int
	// TimeToFirstByte is the time from arrival to the first byte of the answer.
	TimeToFirstByte time.Duration
	// Attempts is the number of attempts.
	Attempts int
}
