package cwdispatch

import (
	"crypto/rand"
	"encoding/hex"
)

// NewID returns a random identifier of 16 hex digits.
func NewID() string {
	var b [8]byte
	// Since Go 1.24 this never fails: it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
