// Package cwconfig defines the form in which a configuration is published: the set of
// values that is built from service files and accounts, and that instances read from the
// platform.
package cwconfig

import (
	"cmp"
	"fmt"
)

// Version identifies one published configuration. Versions are totally ordered by
// number, then by hash, so that all instances choose the same configuration even if two
// publishers use the same number.
type Version struct {
	// Number increases with each publication.
	Number uint64 `json:"number"`
	// Hash is the result of HashOf for the bytes of the manifest.
	Hash string `json:"hash"`
}

// Compare returns a negative number if v is older than other, zero if they are equal,
// and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(v.Hash, other.Hash)
}

// String returns the number and the first 8 characters of the hash.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Number, v.Hash)
}
