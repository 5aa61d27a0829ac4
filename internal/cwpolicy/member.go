package cwpolicy

// Member is this instance's view of an entry instance, either another one or itself.
type Member struct {
	Liveness
	// PeerAddress is the host and port of the peer interface. It identifies the member.
	PeerAddress string
	// CallerAddress is the host and port of the caller interface.
	CallerAddress string
	// Region and Domain are the location of the member.
	Region, Domain string
	// Size is the relative capacity of the member.
	Size float64
	// Load is the fraction of the member's capacity in use, from 0 to 1.
	Load float64
	// IsStoreUnreachable is set while the member cannot reach the store of published
	// state.
	IsStoreUnreachable bool
	// IsCutOff is set while the member reaches no endpoint of its region.
	IsCutOff bool
	// RequestsPerSecond is the rate of requests that the member receives.
	RequestsPerSecond float64
}
