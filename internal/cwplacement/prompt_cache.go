package cwplacement

import "container/list"

// promptCache is what an engine is believed to have in its cache: the parts that
// were sent to it, least recently used parts yielding.
type promptCache struct {
	capacity int
	used     int
	entries  map[uint64]*list.Element
	lru      *list.List
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, entries: make(map[uint64]*list.Element), lru: list.New()}
}

// cachedTokens returns the tokens of the prompt that needn't be processed: those of the
// parts before the first missing one.
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

// add notes that the engine processes a prompt.
func (c *promptCache) add(parts []PromptPart) {
	for i := range parts {
		if e := c.entries[parts[i].ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[parts[i].ID] = c.lru.PushFront(parts[i])
		c.used += parts[i].Tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		p := c.lru.Remove(oldest).(PromptPart)
		delete(c.entries, p.ID)
		c.used -= p.Tokens
	}
}
