package cwanswer

// Header names that the gateway reads from callers or sets on its answers.
const (
	// HeaderOutcome carries the Outcome of the request.
	HeaderOutcome = "Clementinewell-Outcome"
	// HeaderInstance names the instance that the caller reached.
	HeaderInstance = "Clementinewell-Instance"
	// HeaderEndpoint names the endpoint that served the request.
	HeaderEndpoint = "Clementinewell-Endpoint"
	// HeaderRegion names the region that served the request.
	HeaderRegion = "Clementinewell-Region"
	// HeaderRequestID carries the identifier under which the request is logged.
	HeaderRequestID = "Clementinewell-Request-Id"
	// HeaderLeaving is set while the answering instance is shutting down.
	HeaderLeaving = "Clementinewell-Leaving"
	// HeaderDeadline carries the caller's deadline as a duration, such as 2.5s.
	HeaderDeadline = "Request-Timeout"
	// HeaderTicket carries the ticket of a request that must not be repeated.
	HeaderTicket = "Idempotency-Key"
)
