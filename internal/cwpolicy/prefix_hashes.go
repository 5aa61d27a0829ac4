package cwpolicy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the size of the prompt blocks that are hashed.
	PrefixBlockBytes = 512
	// MaxPrefixBlocks is the maximum number of hashed blocks of a prompt.
	MaxPrefixBlocks = 32
	// BytesPerToken is the assumed size of a prompt token.
	BytesPerToken  = 4
	tokensPerBlock = PrefixBlockBytes / BytesPerToken
)

// AppendPrefixHashes appends to dst the chained hashes of the leading complete
// blocks of the prompt, until dst has MaxPrefixBlocks. The seed separates the hashes of
// different pools and sets of allowed regions.
func AppendPrefixHashes(dst []uint64, seed uint64, prompt []byte) []uint64 {
	hash := seed
	for len(prompt) >= PrefixBlockBytes && len(dst) < MaxPrefixBlocks {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], hash)
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[:PrefixBlockBytes])
		hash = digest.Sum64()
		dst = append(dst, hash)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
