package cwpublished

import (
	"cmp"
	"slices"
)

// maxTombstones is the maximum number of tombstones that are kept for peers. A peer
// that asks for changes since an older revision gets all items.
const maxTombstones = 512

// ItemSet holds the newest known version of every item. It does no I/O and is not safe
// for concurrent use.
type ItemSet struct {
	items map[string]Item
	// tombstones are those of the latest removals, at most maxTombstones.
	tombstones []Item
	// compactedRevision is the revision up to which tombstones may be missing.
	compactedRevision Revision
	revision          Revision
}

// NewItemSet returns an empty set.
func NewItemSet() *ItemSet {
	return &ItemSet{items: make(map[string]Item)}
}

// Revision returns the revision up to which the set is complete; 0 until changes
// are applied.
func (s *ItemSet) Revision() Revision {
	return s.revision
}

// Items returns the published items by key. The caller must not change the map.
func (s *ItemSet) Items() map[string]Item {
	return s.items
}

// Apply applies changes that are complete up to the revision. It returns the items that
// changed the set.
func (s *ItemSet) Apply(items []Item, revision Revision) []Item {
	var changed []Item
	for _, item := range items {
		if s.put(item) {
			changed = append(changed, item)
		}
	}
	s.revision = max(s.revision, revision)
	return changed
}

// Replace replaces all items with those read at the revision or later. Items of the set
// that are missing in the new ones and not newer than the revision are removed. It
// returns the items that changed the set.
func (s *ItemSet) Replace(items []Item, revision Revision) []Item {
	changed := s.Apply(items, revision)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
	}
	for key, known := range s.items {
		if seen[key] || known.Revision > revision {
			continue
		}
		removal := Item{Key: key, Revision: revision, IsRemoved: true}
		s.put(removal)
		changed = append(changed, removal)
	}
	s.compactedRevision = max(s.compactedRevision, revision)
	return changed
}

// put applies one item and reports whether it changed the set.
func (s *ItemSet) put(item Item) bool {
	previous, isKnown := s.items[item.Key]
	if isKnown && item.Revision <= previous.Revision || !isKnown && s.removalRevision(item.Key) >= item.Revision {
		return false
	}
	if !item.IsRemoved {
		s.items[item.Key] = item
		return true
	}
	delete(s.items, item.Key)
	s.addTombstone(item)
	return isKnown
}

// removalRevision returns the revision of the latest tombstone of the key, 0 if there
// is none.
func (s *ItemSet) removalRevision(key string) Revision {
	for i := len(s.tombstones) - 1; i >= 0; i-- {
		if s.tombstones[i].Key == key {
			return s.tombstones[i].Revision
		}
	}
	return 0
}

func (s *ItemSet) addTombstone(item Item) {
	s.tombstones = append(s.tombstones, Item{Key: item.Key, Revision: item.Revision, IsRemoved: true})
	if len(s.tombstones) > maxTombstones {
		s.compactedRevision = max(s.compactedRevision, s.tombstones[0].Revision)
		s.tombstones = slices.Delete(s.tombstones, 0, 1)
	}
}

// Keep sets the value of an item without a change in the store.
func (s *ItemSet) Keep(item Item) {
	s.items[item.Key] = item
}

// ChangesSince returns the changes after the revision, for a peer. If isFull is set, the
// items are all published items instead.
func (s *ItemSet) ChangesSince(after Revision) (items []Item, isFull bool) {
	isFull = after < s.compactedRevision || after == 0
	for _, item := range s.items {
		if isFull || item.Revision > after {
			items = append(items, item)
		}
	}
	if !isFull {
		for _, item := range s.tombstones {
			if item.Revision > after {
				items = append(items, item)
			}
		}
	}
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	return items, isFull
}
