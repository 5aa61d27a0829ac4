package cwconn

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// carriedIDs holds hashes of the identifiers that a connection has carried. If two identifiers have the
// same hash, the second one goes to another connection.
type carriedIDs []uint64

// add records the identifier of a call or check; an empty one is none.
func (c *carriedIDs) add(id string) {
	if id != "" {
		*c = append(*c, xxhash.Sum64String(id))
	}
}

func (c carriedIDs) has(id string) bool {
	return id != "" && slices.Contains(c, xxhash.Sum64String(id))
}

// isFull reports whether no further call is to be added.
func (c carriedIDs) isFull() bool {
	return len(c) >= MaxCallsPerConn
}
