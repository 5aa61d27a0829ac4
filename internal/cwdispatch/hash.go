package cwdispatch

import "github.com/cespare/xxhash/v2"

func hashOf(s string) uint64 {
	return xxhash.Sum64String(s)
}
