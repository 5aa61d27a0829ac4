package cwstandin

import "sync"

const (
	prefixBytes   = 512
	bytesPerToken = 4
)

// prefixCache holds the beginnings of recent prompts, the oldest first.
type prefixCache struct {
	mu          sync.Mutex
	maxPrefixes int
	prefixes    []string
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{maxPrefixes: size}
}

func (c *prefixCache) countUncachedTokens(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := max(1, len(prompt)/bytesPerToken)
	if len(prompt) < prefixBytes {
		return tokens
	}
	for _, p := range c.prefixes {
		if p == prompt[:prefixBytes] {
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
