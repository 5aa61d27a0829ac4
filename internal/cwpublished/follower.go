package cwpublished

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwwatch"
)

const (
	// watchWait is how long one watch waits at the store. A longer wait means fewer calls;
	// the probes detect a watch that was lost.
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
	// probeInterval is the time from one probe to the next. With callTimeoutMargin it bounds
	// the detection of a silence, and a change must be in force within 4 s. A probe costs a
	// tenth of a call.
	probeInterval = time.Second
	// deliveryTime is the time that a watch has to deliver a revision that a probe returned.
	// A slow store responds within a few hundred milliseconds.
	deliveryTime = 700 * time.Millisecond
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
	// hasFailed is set if the latest call failed. The next watch then doesn't wait, so that
	// its response shows at once whether the store is back.
	hasFailed bool
}

// NewFollower returns a follower that does nothing until Run is called.
func NewFollower(common *cwcommon.Common, state *State, store Store, isReader func() bool) *Follower {
	return &Follower{Common: common, state: state, store: store, isReader: isReader, retryPause: minRetryPause, restart: make(chan struct{}, 1)}
}

// Run follows the store until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := f.step(ctx)
		f.hasFailed = err != nil
		if err == nil {
			f.retryPause = minRetryPause
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if needsAllItems(err) {
			f.Log.Info("changes can't be read; reading all items", zap.Uint64("revision", f.state.Revision().StoreRevision()), zap.Error(err))
			f.hasAllItems = false
			cwcommon.Sleep(ctx, minRetryPause/2+rand.N(minRetryPause))
			continue
		}
		// The time that the call took counts as part of the pause.
		pause := max(minRetryPause, f.retryPause-time.Since(startedAt))
		f.state.SetStoreUnreachable(true)
		f.Metrics.Counter("store_failures").Inc(1)
		f.Log.Warn("store not read", zap.Error(err), zap.Duration("pause", pause))
		cwcommon.Sleep(ctx, pause/2+rand.N(pause))
		f.retryPause = min(2*f.retryPause, maxRetryPause)
	}
	return nil
}

// needsAllItems reports whether the changes since the present revision can't be had: only the items as they
// are now tell what has changed.
func needsAllItems(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrRestored)
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
	changes, err := f.watch(ctx)
	switch {
	case errors.Is(err, errRestartRequested):
		f.Log.Info("watch ended; reading all items", zap.Uint64("revision", f.state.Revision().StoreRevision()))
		f.hasAllItems = false
		return nil
	case errors.Is(err, errWatchBehind):
		f.Log.Info("watch has not delivered a change; watching again", zap.Error(err))
		return nil
	case err != nil:
		return err
	}
	f.state.lag.recordStoreAnswer()
	f.state.SetStoreUnreachable(false)
	f.state.Apply("store", Delta{Items: changes.Items, Revision: changes.Revision})
	f.wait(ctx, watchGap)
	return nil
}

var (
	errRestartRequested = errors.New("restart requested")
	errWatchBehind      = errors.New("the store has a newer revision")
)

// watch runs one watch and probes the store meanwhile if this instance is a reader. It
// returns the reason if it ends the watch itself.
func (f *Follower) watch(ctx context.Context) (Changes, error) {
	wait := watchWait
	if f.hasFailed {
		wait = 0
	}
	ctx, cancelTimeout := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchDone, restartHandled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(restartHandled)
		select {
		case <-f.restart:
			cancel(errRestartRequested)
		case <-watchDone:
		}
	}()
	call := func(ctx context.Context) (Changes, error) { return f.store.Watch(ctx, f.state.Revision(), wait) }
	var changes Changes
	var err error
	if wait > 0 {
		changes, err = cwwatch.Do(ctx, f.Common, probeInterval, f.probe, call)
	} else {
		changes, err = call(ctx)
	}
	close(watchDone)
	<-restartHandled
	f.Metrics.Counter("store_calls").Inc(1)
	cause := context.Cause(ctx)
	if errors.Is(cause, errRestartRequested) || err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return Changes{}, cause
	}
	return changes, err
}

// probe probes the store. It returns an error if the watch in progress has to be replaced: the
// store doesn't respond, so that it may have lost the watch too, or it has changes that the
// watch doesn't deliver.
func (f *Follower) probe(ctx context.Context) error {
	if !f.isReader() {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	revision, err := f.store.Probe(callCtx)
	cancel()
	f.Metrics.Counter("store_probes").Inc(1)
	if err != nil {
		return fmt.Errorf("probe store during a watch: %w", err)
	}
	f.state.lag.recordStoreAnswer()
	f.state.RecordOffer("store", revision)
	if revision <= f.state.Revision() {
		return nil
	}
	cwcommon.Sleep(ctx, deliveryTime)
	if behind := f.state.Revision(); revision > behind {
		return fmt.Errorf("watch from revision %d, store at %d: %w", behind.StoreRevision(), revision.StoreRevision(), errWatchBehind)
	}
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
			f.state.lag.recordStoreAnswer()
			f.state.SetStoreUnreachable(false)
			f.state.Apply("store", Delta{Items: items, Revision: firstRevision, IsFull: true})
			f.hasAllItems, f.watchedAt = true, time.Now()
			return nil
		}
		afterKey = page.Items[len(page.Items)-1].Key
	}
	return fmt.Errorf("read all items: more than %d pages", maxPages)
}
