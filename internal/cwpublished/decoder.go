package cwpublished

import "github.com/clementinewell/clementinewell/internal/cwroute"

// Record is the decoded value of one item. Exactly one field is set.
type Record struct {
	// Config is a configuration.
	Config *cwroute.Config
	// Endpoint is a registered endpoint.
	Endpoint *cwroute.Endpoint
	// Evacuation is the order to evacuate a failure domain.
	Evacuation *cwroute.Evacuation
}

// Decoder decodes an item. The record is nil for a key that is not used here. The error
// is set for a malformed item; the record is then ignored.
type Decoder func(key string, value []byte) (*Record, error)
