package cwpublished

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the requested changes.
var ErrCompacted = errors.New("the store has compacted the requested revisions")

// Page is one page of the list of all items.
type Page struct {
	// Items are ordered by key.
	Items []Item
	// Revision is the store's revision when the page was read.
	Revision uint64
	// HasMore is set if further pages follow.
	HasMore bool
}

// Changes are the changes after a revision.
type Changes struct {
	// Items are the changed and removed items.
	Items []Item
	// Revision is the revision up to which the changes are complete.
	Revision uint64
}

// Store reads the published state. The platform's adapter implements it.
type Store interface {
	// Range returns a page of the items whose keys follow afterKey, the first page if
	// afterKey is empty.
	Range(ctx context.Context, afterKey string) (Page, error)
	// Watch returns the changes after the revision. If there are none, it waits for one, at
	// most for the given time. It returns ErrCompacted if the store no longer has them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}
