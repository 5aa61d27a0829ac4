package cwpolicy

import (
	"fmt"
	"strconv"
)

// FormatKeptConfig returns the version of a configuration that the store has lost, as the hash of the
// version that instances offer each other. The order of the texts is that of the versions; without such a
// configuration the hash is empty.
func FormatKeptConfig(version uint64) string {
	return fmt.Sprintf("%016x", version)
}

// ParseKeptConfig returns the version that FormatKeptConfig has formatted; 0 for any other text.
func ParseKeptConfig(hash string) uint64 {
	version, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return 0
	}
	return version
}
