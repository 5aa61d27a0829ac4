package cwanswer

// Names of the headers that the gateway reads from requests of callers or sets on
// responses to them.
const (
	// HeaderOutcome carries the Outcome of the request. An endpoint that did not start a
	// request may set it to notRun on a response with status 503.
	HeaderOutcome = "Clementinewell-Outcome"
	// HeaderInstance carries the caller address, host and port, of the instance that
	// received the request.
	HeaderInstance = "Clementinewell-Instance"
	// HeaderEndpoint carries the address, host and port, of the endpoint that served the
	// request.
	HeaderEndpoint = "Clementinewell-Endpoint"
	// HeaderRegion carries the region in which the request was served.
	HeaderRegion = "Clementinewell-Region"
	// HeaderRequestID carries the identifier of the request in the logs.
	HeaderRequestID = "Clementinewell-Request-Id"
	// HeaderLeaving is set to "true" while the responding instance is shutting down.
	HeaderLeaving = "Clementinewell-Leaving"
	// HeaderDeadline carries the caller's timeout as a Go duration, such as 2.5s.
	HeaderDeadline = "Request-Timeout"
	// HeaderTicket carries the ticket of a request that must not be repeated.
	HeaderTicket = "Idempotency-Key"
)
