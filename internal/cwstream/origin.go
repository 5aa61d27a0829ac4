// Package cwstream remembers which software version of which service began a stream, so that it
// goes on only there, also at another instance.
package cwstream

import "github.com/cespare/xxhash/v2"

// Origin is what began a stream: what endpoints of another service or software version write
// does not fit together with it.
type Origin struct {
	Service, Version string
}

// IsKnown reports whether the origin is known.
func (o Origin) IsKnown() bool {
	return o.Version != ""
}

// ID identifies a stream. It is the hash of the identifier of the caller's attempt that brought
// the first event.
type ID uint64

// NewID returns the ID of the stream that an attempt of the caller began.
func NewID(requestID string) ID {
	return ID(xxhash.Sum64String(requestID))
}
