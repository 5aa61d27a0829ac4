// Package cwplatform reads the values that the platform publishes: the configuration
// and the lists of instances and endpoints. It never writes to the platform.
package cwplatform

const (
	// EntriesKey is the platform key of the list of entry instances.
	EntriesKey = "instances/entries"
	// EndpointsKeyPrefix is followed by a failure domain in the platform key of the list
	// of the domain's endpoints.
	EndpointsKeyPrefix = "instances/endpoints/"
	// DirectoryKey is the platform key of the list in which callers look up instances.
	DirectoryKey = "directory"
	// RevisionHeader is the response header with the revision of a value.
	RevisionHeader = "Revision"
)

// EntryInstance is one entry instance in the platform's list.
type EntryInstance struct {
	// PeerAddress and CallerAddress are the host and port of the peer interface and of the
	// caller interface.
	PeerAddress   string `json:"peerAddress"`
	CallerAddress string `json:"callerAddress"`
	// Region and Domain are the region and failure domain of the instance.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Size is the capacity relative to other instances.
	Size float64 `json:"size"`
	// IsLeaving is set when the instance is about to be removed.
	IsLeaving bool `json:"leaving,omitempty"`
}

// ListedEndpoint is one endpoint in the platform's list.
type ListedEndpoint struct {
	// Address is the host and port.
	Address string `json:"address"`
	// Pool is the model of an engine or the name of a plain service.
	Pool string `json:"pool"`
	// Accelerators is the number of accelerators.
	Accelerators float64 `json:"accelerators,omitempty"`
	// IsLeaving is set when the endpoint is about to be removed.
	IsLeaving bool `json:"leaving,omitempty"`
}
