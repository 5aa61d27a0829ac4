package cwpublished

import "time"

// Delta is what changed after a revision.
type Delta struct {
	// Items are the changed and removed items.
	Items []Item
	// Current is the revision up to which the delta is complete.
	Current uint64
	// Whole is set if the items are all that there are.
	Whole bool
	// TroubledAt is when the source last had trouble with the store; zero if it had
	// none.
	TroubledAt time.Time
}
