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
	// callMargin is added to the wait for the answer to arrive; the store answers
	// within milliseconds, and a slow one within some hundred.
	callMargin = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call. The upper bound
	// follows from the seconds within which a configuration must be in force.
	minPause = 100 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// watchGap is the time from the answer of a watch to the next one: changes that
	// come in between arrive in one call. It takes little of the seconds within
	// which changes must be in force.
	watchGap = 700 * time.Millisecond
	// roleCheck is how often an instance that is no reader looks whether it is one.
	roleCheck = 500 * time.Millisecond
	// maxPages bounds one reading of all items.
	maxPages = 1000
)

// Follower keeps the state up with the store.
type Follower struct {
	*cwcommon.Common
	state *State
	store Store
	pause time.Duration
	// restart ends a watch that has missed a change.
	restart chan struct{}
	whole   bool
	// isReader reports whether this instance watches for its domain. The others
	// learn of changes from their peers.
	isReader func() bool
	watched  time.Time
}

// NewFollower returns a follower that has not started.
func NewFollower(common *cwcommon.Common, state *State, store Store, isReader func() bool) *Follower {
	return &Follower{Common: common, state: state, store: store, isReader: isReader, pause: minPause, restart: make(chan struct{}, 1)}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.pause = minPause
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("history of the store is gone, reading all items", zap.Uint64("revision", f.state.Revision()))
			f.whole = false
			continue
		}
		f.state.StoreAway(true)
		f.Metrics.Counter("store_failures").Inc(1)
		f.Log.Warn("store not read", zap.Error(err), zap.Duration("pause", f.pause))
		cwcommon.Pause(ctx, f.pause/2+rand.N(f.pause))
		f.pause = min(2*f.pause, maxPause)
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
	if !f.whole {
		return f.readAll(ctx)
	}
	if !f.isReader() && time.Since(f.watched) < f.Settings.FallbackInterval {
		f.rest(ctx, roleCheck)
		return nil
	}
	f.watched = time.Now()
	ctx, cancel := context.WithTimeout(ctx, watchWait+callMargin)
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
		f.whole = false
		return nil
	}
	if err != nil {
		return err
	}
	f.state.StoreAway(false)
	f.state.Apply("store", Delta{Items: changes.Items, Current: changes.Current})
	f.rest(ctx, watchGap)
	return nil
}

// rest waits for the time, or until a restart is asked for.
func (f *Follower) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.restart:
		f.whole = false
	case <-timer.C:
	}
}

// readAll reads every item. The pages are no snapshot: the watch that follows
// starts from the revision of the first page, and newer items win.
func (f *Follower) readAll(ctx context.Context) error {
	var items []Item
	first, after := uint64(0), ""
	for range maxPages {
		callCtx, cancel := context.WithTimeout(ctx, callMargin)
		page, err := f.store.Range(callCtx, after)
		cancel()
		f.Metrics.Counter("store_calls").Inc(1)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Current
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			f.state.StoreAway(false)
			f.state.Apply("store", Delta{Items: items, Current: first, Whole: true})
			f.whole, f.watched = true, time.Now()
			return nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return fmt.Errorf("read all items: more than %d pages", maxPages)
}
