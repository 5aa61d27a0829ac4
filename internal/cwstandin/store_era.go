package cwstandin

import (
	"maps"
	"strconv"
)

// eraHeader is the response header with the number of times that the store came back from a
// copy.
const eraHeader = "Store-Era"

// StoreCopy is a copy of the store's items at one revision.
type StoreCopy struct {
	items    map[string]storeItem
	revision uint64
}

// Copy returns a copy of the current items.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &StoreCopy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces all items by those of a copy and begins the next era. What was written since
// the copy is lost, and its revisions are given out again. Waiting watches get status 410.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.revision = maps.Clone(c.items), c.revision
	s.compactedRevision, s.history = c.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// formatEra returns the value of the era's header. The caller holds mu.
func (s *Store) formatEra() string {
	return strconv.FormatUint(s.era, 10)
}
