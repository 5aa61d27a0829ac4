package cwstandin

import "sync"

const (
	prefixBytes   = 512
	bytesPerToken = 4
)

// prefixCache holds the beginnings of recent prompts, the oldest first.
type prefixCache struct {
	mu    sync.Mutex
	size  int
	order []string
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size}
}

func (c *prefixCache) uncached(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := max(1, len(prompt)/bytesPerToken)
	if len(prompt) < prefixBytes {
		return tokens
	}
	for _, p := range c.order {
		if p == prompt[:prefixBytes] {
			return max(1, tokens-prefixBytes/bytesPerToken)
		}
	}
	return tokens
}

func (c *prefixCache) add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size == 0 || len(prompt) < prefixBytes {
		return
	}
	c.order = append(c.order, prompt[:prefixBytes])
	if len(c.order) > c.size {
		c.order = c.order[1:]
	}
}
