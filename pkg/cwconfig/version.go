// Package cwconfig defines the values of a configuration, which are built from service files
// and published on the platform, and the state that instances build from them.
package cwconfig

import (
	"cmp"
	"fmt"
)

// Version identifies one published configuration. Versions are ordered by number, then by
// hash, so that all instances select the same configuration even if two publishers use the
// same number.
type Version struct {
	// Number rises with each publication.
	Number uint64 `json:"number"`
	// Hash is the result of HashOf for the manifest's bytes.
	Hash string `json:"hash"`
}

// Compare returns a negative number, zero or a positive number as v is older
// than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(v.Hash, other.Hash)
}

// String returns the number and the first characters of the hash.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Number, v.Hash)
}
