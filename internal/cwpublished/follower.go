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
	// watchWait is how long one watch waits at the store. Each watch counts as a
	// call, and an answer that was lost is noticed after it.
	watchWait = 8 * time.Second
	// callTimeoutMargin is added to the wait for the answer to arrive; the store answers
	// within milliseconds, and a slow one within some hundred.
	callTimeoutMargin = 1500 * time.Millisecond
	// minRetryPause and maxPause bound the pause after a failed call. The upper bound
	// follows from the seconds within which a configuration must be in force.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// watchGap is the time from the answer of a watch to the next one: changes that
	// come in between arrive in one call. It takes little of the seconds within
	// which changes must be in force.
	watchGap = 700 * time.Millisecond
	// readerCheckInterval is how often an instance that is no reader looks whether it is one.
	readerCheckInterval = 500 * time.Millisecond
	// maxPages bounds one reading of all items.
	maxPages = 1000
)

// Follower keeps the state up with the store.
type Follower struct {
	*cwcommon.Common
	state      *State
	store      Store
	retryPause time.Duration
	// restart ends a watch that has missed a change.
	restart     chan struct{}
	hasAllItems bool
	// isReader reports whether this instance watches for its domain. The others
	// learn of changes from their peers.
	isReader  func() bool
	watchedAt time.Time
}

// NewFollower returns a follower that has not started.
func NewFollower(common *cwcommon.Common, state *State, store Store, isReader func() bool) *Follower {
	return &Follower{Common: common, state: state, store: store, isReader: isReader, retryPause: minRetryPause, restart: make(chan struct{}, 1)}
}

// Run follows the store until ctx ends.
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
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("history of the store is gone, reading all items", zap.Uint64("revision", f.state.Revision()))
			f.hasAllItems = false
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

// IsReader reports whether this instance watches the store for its domain.
func (f *Follower) IsReader() bool {
	return f.isReader()
}

// Restart ends the watch in progress and reads all items again: a peer knows of a
// change that the watch has not brought, or this instance stood still.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

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
	watched := make(chan struct{})
	var restarted atomic.Bool
	go func() {
		select {
		case <-f.restart:
			restarted.Store(true)
			cancel()
		case <-watched:
		}
	}()
	changes, err := f.store.Watch(ctx, f.state.Revision(), watchWait)
	close(watched)
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

// wait waits for the time, or until a restart is asked for.
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

// readAll reads every item. The pages are no snapshot: the watch that follows
// starts from the revision of the first page, and newer items win.
func (f *Follower) readAll(ctx context.Context) error {
	var items []Item
	first, after := uint64(0), ""
	for range maxPages {
		callCtx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
		page, err := f.store.Range(callCtx, after)
		cancel()
		f.Metrics.Counter("store_calls").Inc(1)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			f.state.SetStoreUnreachable(false)
			f.state.Apply("store", Delta{Items: items, Revision: first, IsFull: true})
			f.hasAllItems, f.watchedAt = true, time.Now()
			return nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return fmt.Errorf("read all items: more than %d pages", maxPages)
}
