package cwpublished

import (
	"cmp"
	"slices"
)

// maxTombstones bounds the removals that are remembered for peers. A peer that
// asks for older ones gets everything.
const maxTombstones = 512

// Book holds the newest known version of every item. It does no I/O and takes no
// lock.
type Book struct {
	items      map[string]Item
	tombstones []Item
	// floor is the revision up to which removals may have been forgotten.
	floor   uint64
	current uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{items: make(map[string]Item)}
}

// Current returns the revision up to which the book is complete; 0 at first.
func (b *Book) Current() uint64 {
	return b.current
}

// Items returns what is published, in no order.
func (b *Book) Items() map[string]Item {
	return b.items
}

// Apply takes in changes that are complete up to the revision. It returns the
// items that are news.
func (b *Book) Apply(items []Item, current uint64) []Item {
	var news []Item
	for _, item := range items {
		if b.put(item) {
			news = append(news, item)
		}
	}
	b.current = max(b.current, current)
	return news
}

// Replace takes in all items as they were at the revision or later. What the book
// has from before and is missing was removed meanwhile.
func (b *Book) Replace(items []Item, current uint64) []Item {
	news := b.Apply(items, current)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
	}
	for key, held := range b.items {
		if seen[key] || held.Revision > current {
			continue
		}
		gone := Item{Key: key, Revision: current, Removed: true}
		b.put(gone)
		news = append(news, gone)
	}
	b.floor = max(b.floor, current)
	return news
}

func (b *Book) put(item Item) bool {
	held, known := b.items[item.Key]
	if known && item.Revision <= held.Revision || !known && b.removedAt(item.Key) >= item.Revision {
		return false
	}
	if !item.Removed {
		b.items[item.Key] = item
		return true
	}
	delete(b.items, item.Key)
	b.bury(item)
	return known
}

func (b *Book) removedAt(key string) uint64 {
	for i := len(b.tombstones) - 1; i >= 0; i-- {
		if b.tombstones[i].Key == key {
			return b.tombstones[i].Revision
		}
	}
	return 0
}

func (b *Book) bury(item Item) {
	b.tombstones = append(b.tombstones, Item{Key: item.Key, Revision: item.Revision, Removed: true})
	if len(b.tombstones) > maxTombstones {
		b.floor = max(b.floor, b.tombstones[0].Revision)
		b.tombstones = slices.Delete(b.tombstones, 0, 1)
	}
}

// Since returns what changed after the revision, for a peer. Whole is set if the
// items are all that there are.
func (b *Book) Since(after uint64) (items []Item, whole bool) {
	whole = after < b.floor || after == 0
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
