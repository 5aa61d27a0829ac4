package cwpublished

import "time"

// Delta is what changed after a revision.
type Delta struct {
	// Items are the changed and removed items.
	Items []Item
	// Revision is the revision up to which the delta is complete.
	Revision uint64
	// IsFull is set if the items are all that there are.
	IsFull bool
	// StoreUnreachableAt is when the source last had trouble with the store; zero if it had
	// none.
	StoreUnreachableAt time.Time
}
