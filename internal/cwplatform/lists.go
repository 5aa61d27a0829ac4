// Package cwplatform reads what the platform publishes: the configuration and
// the lists of instances. It never writes there.
package cwplatform

const (
	// EntriesKey is the platform key of the list of entry instances.
	EntriesKey = "instances/entries"
	// EndpointsKeyPrefix precedes a failure domain in the key of its endpoint list.
	EndpointsKeyPrefix = "instances/endpoints/"
	// DirectoryKey is the platform key of the list that callers start from.
	DirectoryKey = "directory"
	// RevisionHeader carries the revision of a value.
	RevisionHeader = "Revision"
)

// EntryInstance is one entry instance in the platform's list.
type EntryInstance struct {
	// PeerAddress and CallerAddress are the interfaces' hosts and ports.
	PeerAddress   string `json:"peerAddress"`
	CallerAddress string `json:"callerAddress"`
	// Region and Domain say where the instance runs.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Size is the relative capacity.
	Size float64 `json:"size"`
	// Leaving is set when the instance is about to go.
	Leaving bool `json:"leaving,omitempty"`
}

// ListedEndpoint is one endpoint in the platform's list.
type ListedEndpoint struct {
	// Address is the host and port.
	Address string `json:"address"`
	// Pool is the model of an engine or the name of a plain service.
	Pool string `json:"pool"`
	// Accelerators is the number of accelerators.
	Accelerators float64 `json:"accelerators,omitempty"`
	// Leaving is set when the endpoint is about to go.
	Leaving bool `json:"leaving,omitempty"`
}
