package cwgate

// EndpointReport is what an endpoint states about its requests in progress.
type EndpointReport struct {
	// StartedAtMillis is when this incarnation of the endpoint started; 0 if it does not say.
	StartedAtMillis int64
	// Streams are the identifiers of the requests in progress that have made an event.
	Streams []string
}
