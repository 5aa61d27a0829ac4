// Package cwconfig defines the set of values that the publishing step makes
// from service files and that instances read from the platform.
package cwconfig

import (
	"cmp"
	"fmt"
)

// Version identifies one published configuration. Versions are totally ordered
// by number, then by hash, so that two publishers that chose the same number
// still lead every instance to the same configuration.
type Version struct {
	// Number rises with each publication.
	Number uint64 `json:"number"`
	// Hash is the HashOf the manifest.
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

// String returns the number and the start of the hash.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Number, v.Hash)
}
