package cwpublished

import "github.com/clementinewell/clementinewell/internal/cwroute"

// Record is the meaning of one item; exactly one field is set.
type Record struct {
	// Config is a configuration.
	Config *cwroute.Config
	// Endpoint is a registered endpoint.
	Endpoint *cwroute.Endpoint
	// Evacuation is a request to empty a failure domain.
	Evacuation *cwroute.Evacuation
}

// Decoder returns the meaning of an item, nil if it has none here. An error says
// what is wrong with an item that should have one.
type Decoder func(key string, value []byte) (*Record, error)
