// Package cwpublished keeps a copy of the state that the platform publishes: the
// configuration, the endpoints and the evacuations. Some instances of each domain, the
// readers, follow the store. The others, and readers that can't reach the store, fetch
// changes from their peers.
package cwpublished

// Item is one published value, or the tombstone of a removed one.
type Item struct {
	// Key identifies the item.
	Key string
	// Value is the published value; nil for a removal.
	Value []byte
	// Revision is the revision of the change; it orders the changes of all items.
	Revision Revision
	// IsRemoved is set if the item was removed at the revision.
	IsRemoved bool
	// IsCreation is set if the item did not exist before the change. It is known only of items that
	// come from the store.
	IsCreation bool
}
