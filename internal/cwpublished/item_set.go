package cwpublished

import (
	"cmp"
	"slices"
)

// maxTombstones bounds the removals that are remembered for peers. A peer that
// asks for older ones gets everything.
const maxTombstones = 512

// ItemSet holds the newest known version of every item. It does no I/O and takes no
// lock.
type ItemSet struct {
	items      map[string]Item
	tombstones []Item
	// compactedRevision is the revision up to which removals may have been forgotten.
	compactedRevision uint64
	revision          uint64
}

// NewItemSet returns an empty book.
func NewItemSet() *ItemSet {
	return &ItemSet{items: make(map[string]Item)}
}

// Revision returns the revision up to which the book is complete; 0 at first.
func (b *ItemSet) Revision() uint64 {
	return b.revision
}

// Items returns what is published, in no order.
func (b *ItemSet) Items() map[string]Item {
	return b.items
}

// Apply takes in changes that are complete up to the revision. It returns the
// items that are news.
func (b *ItemSet) Apply(items []Item, current uint64) []Item {
	var news []Item
	for _, item := range items {
		if b.put(item) {
			news = append(news, item)
		}
	}
	b.revision = max(b.revision, current)
	return news
}

// Replace takes in all items as they were at the revision or later. What the book
// has from before and is missing was removed meanwhile.
func (b *ItemSet) Replace(items []Item, current uint64) []Item {
	news := b.Apply(items, current)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
	}
	for key, held := range b.items {
		if seen[key] || held.Revision > current {
			continue
		}
		gone := Item{Key: key, Revision: current, IsRemoved: true}
		b.put(gone)
		news = append(news, gone)
	}
	b.compactedRevision = max(b.compactedRevision, current)
	return news
}

func (b *ItemSet) put(item Item) bool {
	held, known := b.items[item.Key]
	if known && item.Revision <= held.Revision || !known && b.removalRevision(item.Key) >= item.Revision {
		return false
	}
	if !item.IsRemoved {
		b.items[item.Key] = item
		return true
	}
	delete(b.items, item.Key)
	b.addTombstone(item)
	return known
}

func (b *ItemSet) removalRevision(key string) uint64 {
	for i := len(b.tombstones) - 1; i >= 0; i-- {
		if b.tombstones[i].Key == key {
			return b.tombstones[i].Revision
		}
	}
	return 0
}

func (b *ItemSet) addTombstone(item Item) {
	b.tombstones = append(b.tombstones, Item{Key: item.Key, Revision: item.Revision, IsRemoved: true})
	if len(b.tombstones) > maxTombstones {
		b.compactedRevision = max(b.compactedRevision, b.tombstones[0].Revision)
		b.tombstones = slices.Delete(b.tombstones, 0, 1)
	}
}

// ChangesSince returns what changed after the revision, for a peer. Whole is set if the
// items are all that there are.
func (b *ItemSet) ChangesSince(after uint64) (items []Item, whole bool) {
	whole = after < b.compactedRevision || after == 0
	for _, item := range b.items {
		if whole || item.Revision > after {
			items = append(items, item)
		}
	}
	if !whole {
		for _, item := range b.tombstones {
			if item.Revision > after {
				items = append(items, item)
			}
		}
	}
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
	return items, whole
}
