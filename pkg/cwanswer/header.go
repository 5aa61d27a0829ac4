package cwanswer

// Header fields that the gateway reads from requests of callers or sets in its responses.
const (
	// HeaderOutcome is the Outcome of the request. An endpoint that did not start a request
	// may set it to notRun in a response with status 503.
	HeaderOutcome = "Clementinewell-Outcome"
	// HeaderInstance is the caller address, host and port, of the instance that received
	// the request.
	HeaderInstance = "Clementinewell-Instance"
	// HeaderEndpoint is the address, host and port, of the endpoint that served the request.
	HeaderEndpoint = "Clementinewell-Endpoint"
	// HeaderRegion is the region in which the request was served.
	HeaderRegion = "Clementinewell-Region"
	// HeaderRequestID is the identifier with which the request is logged.
	HeaderRequestID = "Clementinewell-Request-Id"
	// HeaderLeaving is set to "true" while the responding instance is shutting down.
	HeaderLeaving = "Clementinewell-Leaving"
	// HeaderDeadline is the time that the caller waits, as a duration such as 2.5s.
	HeaderDeadline = "Request-Timeout"
	// HeaderTicket is the ticket of a request that must not be repeated.
	HeaderTicket = "Idempotency-Key"
)
