package cwdispatch

import (
	"math/rand/v2"
	"strconv"
)

// NewID returns a random identifier of 16 hexadecimal digits.
func NewID() string {
	// The top bit is set so that every identifier has the same length.
	return strconv.FormatUint(rand.Uint64()|1<<63, 16)
}
