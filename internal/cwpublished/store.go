package cwpublished

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the requested changes.
var ErrCompacted = errors.New("the store has compacted the requested revisions")

// ErrRestored means that the store was restored from a copy, so that changes since a
// revision of an earlier era are unknown.
var ErrRestored = errors.New("the store was restored from a copy")

// ErrTooLarge means that the requested changes exceed what one response may hold. The same call fails
// again, and with more changes.
var ErrTooLarge = errors.New("the changes exceed the limit for one response")

// Page is one page of the list of all items.
type Page struct {
	// Items are ordered by key.
	Items []Item
	// Revision is the store's revision when the page was read.
	Revision Revision
	// HasMore is set if further pages follow.
	HasMore bool
}

// Changes are the changes after a revision.
type Changes struct {
	// Items are the changed and removed items.
	Items []Item
	// Revision is the revision up to which the changes are complete.
	Revision Revision
}

// Store reads the published state. The platform's adapter implements it.
type Store interface {
	// Range returns a page of the items whose keys follow afterKey, the first page if
	// afterKey is empty.
	Range(ctx context.Context, afterKey string) (Page, error)
	// Watch returns the changes after the revision. If there are none, it waits for one, at
	// most for the given time. It returns ErrCompacted if the store no longer has them,
	// ErrTooLarge if one response can't hold them, and ErrRestored if the store is in another era
	// than the revision.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
	// Probe returns a revision that the store had at most a few seconds ago. It is a cheap
	// call that responds at once.
	Probe(ctx context.Context) (Revision, error)
}
