package cwstandin

import "sync"

const (
	prefixBytes   = 512
	bytesPerToken = 4
)

// prefixCache holds the prefixes of the most recent prompts, oldest first.
type prefixCache struct {
	mu          sync.Mutex
	maxPrefixes int
	prefixes    []string
}

func newPrefixCache(maxPrefixes int) *prefixCache {
	return &prefixCache{maxPrefixes: maxPrefixes}
}

// countUncachedTokens returns the number of a prompt's tokens that the cache lacks. It is
// at least 1.
func (c *prefixCache) countUncachedTokens(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := max(1, len(prompt)/bytesPerToken)
	if len(prompt) < prefixBytes {
		return tokens
	}
	for _, prefix := range c.prefixes {
		if prefix == prompt[:prefixBytes] {
			return max(1, tokens-prefixBytes/bytesPerToken)
		}
	}
	return tokens
}

func (c *prefixCache) add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxPrefixes == 0 || len(prompt) < prefixBytes {
		return
	}
	c.prefixes = append(c.prefixes, prompt[:prefixBytes])
	if len(c.prefixes) > c.maxPrefixes {
		c.prefixes = c.prefixes[1:]
	}
}
