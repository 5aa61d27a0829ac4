package cwplacement

import "container/list"

// promptCache is what an engine is believed to have in its cache: the parts that
// were sent to it, least recently used parts yielding.
type promptCache struct {
	capacity int
	used     int
	entries  map[uint64]*list.Element
	order    *list.List
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, entries: make(map[uint64]*list.Element), order: list.New()}
}

// cached returns the tokens of the prompt that needn't be processed: those of the
// parts before the first missing one.
func (c *promptCache) cached(parts []Part) int {
	tokens := 0
	for i := range parts {
		if c.entries[parts[i].ID] == nil {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// use notes that the engine processes a prompt.
func (c *promptCache) use(parts []Part) {
	for i := range parts {
		if e := c.entries[parts[i].ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[parts[i].ID] = c.order.PushFront(parts[i])
		c.used += parts[i].Tokens
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		p := c.order.Remove(oldest).(Part)
		delete(c.entries, p.ID)
		c.used -= p.Tokens
	}
}
