package cwpublished

import "time"

// Delta is the set of changes after a revision.
type Delta struct {
	// Items are the changed and removed items.
	Items []Item
	// Revision is the revision up to which the delta is complete.
	Revision Revision
	// IsFull is set if the items are all published items.
	IsFull bool
	// StoreUnreachableAt is when the source last could not reach the store; zero if it
	// always could.
	StoreUnreachableAt time.Time
}
