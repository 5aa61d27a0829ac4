package cwpolicy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the size of a prompt block whose hash is taken.
	PrefixBlockBytes = 512
	// MaxPrefixBlocks bounds the blocks of one prompt.
	MaxPrefixBlocks = 32
	// BytesPerToken is the assumed size of a prompt token.
	BytesPerToken  = 4
	tokensPerBlock = PrefixBlockBytes / BytesPerToken
)

// AppendPrefixHashes appends to dst the chained hashes of the leading whole blocks of
// the prompt. The seed keeps the hashes of different places and models apart.
func AppendPrefixHashes(dst []uint64, seed uint64, prompt []byte) []uint64 {
	chain := seed
	for len(prompt) >= PrefixBlockBytes && len(dst) < MaxPrefixBlocks {
		var head [8]byte
		binary.LittleEndian.PutUint64(head[:], chain)
		d := xxhash.New()
		_, _ = d.Write(head[:])
		_, _ = d.Write(prompt[:PrefixBlockBytes])
		chain = d.Sum64()
		dst = append(dst, chain)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
