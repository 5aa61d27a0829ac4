package cwdispatch

import (
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Job is one request that an instance processes.
type Job struct {
	// RequestID identifies the request in the logs of all instances.
	RequestID string
	// Service and Account come from the configuration that admitted the request.
	Service *cwservice.Service
	Account *cwservice.Account
	// AllowedRegions are the regions in which the request may be served.
	AllowedRegions cwpolicy.AllowedRegions
	// Method, Path and Query are those sent to the endpoint; Path excludes the
	// service prefix.
	Method, Path, Query string
	// Header holds the fields that are sent to the endpoint.
	Header http.Header
	// Body is the request body.
	Body *Body
	// IsRepeatable is set if more than one attempt may reach an endpoint.
	IsRepeatable bool
	// Ticket is the ticket of a request that must not be repeated; empty if none.
	Ticket string
	// TicketID is set if this instance owns the ticket. TicketExpiry is valid if
	// this instance or the one that forwarded the request owns the ticket.
	TicketID     cwpolicy.TicketID
	TicketExpiry time.Time
	// OwnsTicket is set if this instance owns the ticket, so that its ticket registry
	// must allow each attempt.
	OwnsTicket bool
	// Deadline is when the response must be complete.
	Deadline time.Time
	// ArrivedAt is when the request reached this instance.
	ArrivedAt time.Time
	// HopBudget limits how often the request may still be forwarded.
	HopBudget cwpolicy.HopBudget
	// ArrivalRegion is the region of the instance that the caller sent the request to.
	ArrivalRegion string

	requirements     cwpolicy.Requirements
	outcome          cwanswer.Outcome
	excludedEndpoint string
	excludedDomains  []string
}

// ServeResult describes how a request was served, for logs and the service-level
// report.
type ServeResult struct {
	// Instance, Endpoint and Region identify what served the request.
	Instance, Endpoint, Region string
	// Status is the status code of the endpoint's response, 0 if none was started.
	Status int
	// TimeToFirstByte is the time from Job.ArrivedAt to the first byte of the response, 0
	// if none was started.
	TimeToFirstByte time.Duration
	// Attempts is the number of attempts that were made, 0 for a request that was
	// forwarded to the owner of its ticket.
	Attempts int
}
