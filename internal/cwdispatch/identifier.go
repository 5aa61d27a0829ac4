package cwdispatch

import (
	"math/rand/v2"
	"strconv"
)

// NewID returns a random identifier of 16 hex digits.
func NewID() string {
	// The top bit is set, so that the length is the same for all.
	return strconv.FormatUint(rand.Uint64()|1<<63, 16)
}
