package cwpublished

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the changes that were asked for.
var ErrCompacted = errors.New("the store has dropped this part of its history")

// Page is a part of all items.
type Page struct {
	// Items are in the order of their keys.
	Items []Item
	// Revision is the store's revision when the page was read.
	Revision uint64
	// HasMore is set if items follow.
	HasMore bool
}

// Changes are what happened after a revision.
type Changes struct {
	// Items are the changed and removed items.
	Items []Item
	// Revision is the revision up to which the changes are complete.
	Revision uint64
}

// Store reads published state. The client is in the adapter.
type Store interface {
	// Range returns the items that follow the key.
	Range(ctx context.Context, afterKey string) (Page, error)
	// Watch waits for changes after the revision, at most for the time. It returns
	// ErrCompacted if the history is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}
