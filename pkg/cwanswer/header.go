package cwanswer

// Names of the headers that the gateway reads from requests of callers or sets on
// responses to them.
const (
	// HeaderOutcome carries the Outcome of the request.
	HeaderOutcome = "Clementinewell-Outcome"
	// HeaderInstance names the instance that the caller reached.
	HeaderInstance = "Clementinewell-Instance"
	// HeaderEndpoint names the endpoint that served the request.
	HeaderEndpoint = "Clementinewell-Endpoint"
	// HeaderRegion names the region that served the request.
	HeaderRegion = "Clementinewell-Region"
	// HeaderRequestID carries the identifier of the request in the logs.
	HeaderRequestID = "Clementinewell-Request-Id"
	// HeaderLeaving is set while the responding instance is shutting down.
	HeaderLeaving = "Clementinewell-Leaving"
	// HeaderDeadline carries the caller's timeout as a Go duration, such as 2.5s.
	HeaderDeadline = "Request-Timeout"
	// HeaderTicket carries the ticket of a request that must not be repeated.
	HeaderTicket = "Idempotency-Key"
)
