package cwplacement

import "container/list"

// promptCache models the prompt cache of an engine: the parts that were sent to it, of
// which the least recently used are evicted first.
type promptCache struct {
	// capacity is the size of the cache, and used the size of its parts, in tokens.
	capacity int
	used     int
	// entries are the elements of lru, by the part's identifier.
	entries map[uint64]*list.Element
	lru     *list.List
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, entries: make(map[uint64]*list.Element), lru: list.New()}
}

// cachedTokens returns the number of prompt tokens that need no processing: those of
// the parts before the first missing one.
func (c *promptCache) cachedTokens(parts []PromptPart) int {
	tokens := 0
	for i := range parts {
		if c.entries[parts[i].ID] == nil {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// add adds the parts of a prompt that the engine processes.
func (c *promptCache) add(parts []PromptPart) {
	for i := range parts {
		if e := c.entries[parts[i].ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[parts[i].ID] = c.lru.PushFront(parts[i])
		c.used += parts[i].Tokens
	}
	c.evictExcess()
}

// setCapacity changes the size of the cache.
func (c *promptCache) setCapacity(capacity int) {
	c.capacity = capacity
	c.evictExcess()
}

// evictExcess evicts the least recently used parts that exceed the capacity.
func (c *promptCache) evictExcess() {
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		p := c.lru.Remove(oldest).(PromptPart)
		delete(c.entries, p.ID)
		c.used -= p.Tokens
	}
}
