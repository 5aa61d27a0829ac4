package cwpublished

import "github.com/clementinewell/clementinewell/internal/cwroute"

// Record is the decoded value of one item; exactly one field is set.
type Record struct {
	// Config is a configuration.
	Config *cwroute.Config
	// Endpoint is a registered endpoint.
	Endpoint *cwroute.Endpoint
	// Evacuation is the order to evacuate a failure domain.
	Evacuation *cwroute.Evacuation
}

// Decoder decodes an item. It returns nil for a key that is not used here, and an error
// for an item that is malformed.
type Decoder func(key string, value []byte) (*Record, error)
