package cwpublished

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// watchWait is how long one watch waits at the store. A longer wait means fewer
	// calls, a shorter one detects a lost response earlier.
	watchWait = 8 * time.Second
	// callTimeoutMargin is the time for the response to arrive, in addition to the wait.
	// The store responds within milliseconds, and a slow one within a few hundred.
	callTimeoutMargin = 1500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, before a random
	// jitter of up to half of it either way. The upper bound keeps the delay of a new
	// configuration within the seconds allowed for it.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// watchGap is the time from the response of a watch to the next watch: changes that
	// occur in between arrive in one call. It is a small part of the seconds within
	// which changes must be in force.
	watchGap = 700 * time.Millisecond
	// readerCheckInterval is how often an instance that is not the reader of its domain
	// checks whether it has become the reader.
	readerCheckInterval = 500 * time.Millisecond
	// maxPages is the maximum number of pages in one read of all items.
	maxPages = 1000
)

// Follower keeps the state up to date with the store.
type Follower struct {
	*cwcommon.Common
	state      *State
	store      Store
	retryPause time.Duration
	// restart holds a request of Restart that has not been handled.
	restart chan struct{}
	// hasAllItems is set if all items have been read, so that a watch for changes is
	// enough.
	hasAllItems bool
	// isReader reports whether this instance watches the store for its domain. The
	// others fetch changes from their peers, and watch the store once per
	// FallbackInterval.
	isReader func() bool
	// watchedAt is when the latest watch began or all items were last read.
	watchedAt time.Time
}

// NewFollower returns a follower that does nothing until Run is called.
func NewFollower(common *cwcommon.Common, state *State, store Store, isReader func() bool) *Follower {
	return &Follower{Common: common, state: state, store: store, isReader: isReader, retryPause: minRetryPause, restart: make(chan struct{}, 1)}
}

// Run follows the store until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.retryPause = minRetryPause
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
			f.Log.Info("store has compacted its history; reading all items", zap.Uint64("revision", f.state.Revision().StoreRevision()), zap.Error(err))
			f.hasAllItems = false
			cwcommon.Sleep(ctx, minRetryPause/2+rand.N(minRetryPause))
			continue
		}
		f.state.SetStoreUnreachable(true)
		f.Metrics.Counter("store_failures").Inc(1)
		f.Log.Warn("store not read", zap.Error(err), zap.Duration("pause", f.retryPause))
		cwcommon.Sleep(ctx, f.retryPause/2+rand.N(f.retryPause))
		f.retryPause = min(2*f.retryPause, maxRetryPause)
	}
	return nil
}

// IsReader reports whether this instance is one of those that watch the store for their
// domain.
func (f *Follower) IsReader() bool {
	return f.isReader()
}

// Restart makes Run end the watch in progress and read all items again. It is called if
// a peer has a change that the watch has not delivered, or if this instance was paused.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// step reads all items or runs one watch, whichever is due, or waits if neither is.
func (f *Follower) step(ctx context.Context) error {
	if !f.hasAllItems {
		return f.readAll(ctx)
	}
	if !f.isReader() && time.Since(f.watchedAt) < f.Settings.FallbackInterval {
		f.wait(ctx, readerCheckInterval)
		return nil
	}
	f.watchedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeoutMargin)
	defer cancel()
	watchDone := make(chan struct{})
	var restarted atomic.Bool
	go func() {
		select {
		case <-f.restart:
			restarted.Store(true)
			cancel()
		case <-watchDone:
		}
	}()
	changes, err := f.store.Watch(ctx, f.state.Revision(), watchWait)
	close(watchDone)
	f.Metrics.Counter("store_calls").Inc(1)
	if restarted.Load() {
		f.hasAllItems = false
		return nil
	}
	if err != nil {
		return err
	}
	f.state.SetStoreUnreachable(false)
	f.state.Apply("store", Delta{Items: changes.Items, Revision: changes.Revision})
	f.wait(ctx, watchGap)
	return nil
}

// wait waits for the time, or until a restart is requested.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.restart:
		f.hasAllItems = false
	case <-timer.C:
	}
}

// readAll reads all items. The pages are not a consistent snapshot, so the next watch
// starts from the revision of the first page, and newer items replace older ones.
func (f *Follower) readAll(ctx context.Context) error {
	var items []Item
	firstRevision, afterKey := Revision(0), ""
	for range maxPages {
		callCtx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
		page, err := f.store.Range(callCtx, afterKey)
		cancel()
		f.Metrics.Counter("store_calls").Inc(1)
		if err != nil {
			return err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		if page.Revision.Era() != firstRevision.Era() {
			return fmt.Errorf("read page after %q: %w", afterKey, ErrRestored)
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			f.state.SetStoreUnreachable(false)
			f.state.Apply("store", Delta{Items: items, Revision: firstRevision, IsFull: true})
			f.hasAllItems, f.watchedAt = true, time.Now()
			return nil
		}
		afterKey = page.Items[len(page.Items)-1].Key
	}
	return fmt.Errorf("read all items: more than %d pages", maxPages)
}
