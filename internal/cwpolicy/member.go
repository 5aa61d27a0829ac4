package cwpolicy

// Member is another entry instance as this instance sees it.
type Member struct {
	Liveness
	// PeerAddress is the host and port of the peer interface; it identifies the member.
	PeerAddress string
	// CallerAddress is the host and port of the caller interface.
	CallerAddress string
	// Region and Domain say where the member runs.
	Region, Domain string
	// Size is the relative capacity of the member's instance.
	Size float64
	// Load is the member's share of its own capacity in use, from 0.
	Load float64
	// IsStoreUnreachable is set while the store of published state doesn't answer the member.
	IsStoreUnreachable bool
	// RequestsPerSecond is the number of requests per second that reach the member.
	RequestsPerSecond float64
}
