package cwconfig

import (
	"sync"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// maxParsedAccounts is the maximum number of accounts of one configuration that are
// cached in parsed form.
const maxParsedAccounts = 4096

// accountCache caches recently used accounts by the hash of their key. It has two
// generations: when newer is full, it becomes older, and the previous older generation
// is dropped.
type accountCache struct {
	mu           sync.Mutex
	newer, older map[string]*cwservice.Account
}

func newAccountCache() *accountCache {
	return &accountCache{newer: make(map[string]*cwservice.Account)}
}

func (c *accountCache) get(hash string) *cwservice.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.newer[hash]; a != nil {
		return a
	}
	a := c.older[hash]
	if a != nil {
		c.add(hash, a)
	}
	return a
}

func (c *accountCache) put(hash string, a *cwservice.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(hash, a)
}

func (c *accountCache) add(hash string, a *cwservice.Account) {
	if len(c.newer) >= maxParsedAccounts/2 {
		c.older = c.newer
		c.newer = make(map[string]*cwservice.Account)
	}
	c.newer[hash] = a
}
