// Package cwpublished follows the state that the platform publishes: the
// configuration, the endpoints and the evacuations. It comes from the store or,
// where the store can't be reached, from other instances.
package cwpublished

// Item is one published value, or the mark of its removal.
type Item struct {
	// Key names the item.
	Key string
	// Value is what was published; nil for a removal.
	Value []byte
	// Revision orders all changes of all items.
	Revision uint64
	// IsRemoved is set once the item was removed at the revision.
	IsRemoved bool
}
