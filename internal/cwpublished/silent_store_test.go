package cwpublished_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

const (
	// applyTime is the time from the acknowledgement of a change until instances apply it, and
	// contactTime the time from the end of a silence until that is required again.
	applyTime   = 4 * time.Second
	contactTime = 6 * time.Second
	// spreadTime is what remains of both for the instances that get the change from a reader:
	// one exchange interval with its jitter, and a fetch.
	spreadTime = 1200 * time.Millisecond
	// storeDelay is the time from a change to the response of a watch.
	storeDelay = 2 * time.Millisecond
)

// silentStore is a store that loses what it receives, and what it would send, within
// [silentFrom, silentUntil). The connections stay open.
type silentStore struct {
	silentFrom, silentUntil time.Time

	mu       sync.Mutex
	events   []cwpublished.Item
	revision uint64
	changed  chan struct{}
	// watches and probes count the calls.
	watches, probes int
}

func newSilentStore() *silentStore {
	return &silentStore{changed: make(chan struct{})}
}

// publish writes a configuration.
func (s *silentStore) publish(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, cwpublished.Item{Key: configKey, Value: []byte(version), Revision: cwpublished.NewRevision(0, s.revision)})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) isSilent() bool {
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentUntil)
}

// loseWhileSilent waits until the caller gives up if the store is silent.
func (s *silentStore) loseWhileSilent(ctx context.Context) error {
	if !s.isSilent() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Range returns the events so far.
func (s *silentStore) Range(ctx context.Context, _ string) (cwpublished.Page, error) {
	if err := s.loseWhileSilent(ctx); err != nil {
		return cwpublished.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return cwpublished.Page{Items: append([]cwpublished.Item(nil), s.events...), Revision: cwpublished.NewRevision(0, s.revision)}, nil
}

// Probe returns the revision.
func (s *silentStore) Probe(ctx context.Context) (cwpublished.Revision, error) {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	if err := s.loseWhileSilent(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return cwpublished.NewRevision(0, s.revision), nil
}

// Watch returns the events after the revision, or waits for one.
func (s *silentStore) Watch(ctx context.Context, after cwpublished.Revision, wait time.Duration) (cwpublished.Changes, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	if err := s.loseWhileSilent(ctx); err != nil {
		return cwpublished.Changes{}, err
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		changes, changed := cwpublished.Changes{Revision: cwpublished.NewRevision(0, s.revision)}, s.changed
		for _, item := range s.events {
			if item.Revision > after {
				changes.Items = append(changes.Items, item)
			}
		}
		s.mu.Unlock()
		isTimedOut := false
		if len(changes.Items) == 0 {
			select {
			case <-ctx.Done():
				return cwpublished.Changes{}, ctx.Err()
			case <-changed:
				continue
			case <-timeout:
				isTimedOut = true
			}
		}
		cwcommon.Sleep(ctx, storeDelay)
		if err := s.loseWhileSilent(ctx); err != nil {
			return cwpublished.Changes{}, err
		}
		if isTimedOut || len(changes.Items) > 0 {
			return changes, nil
		}
	}
}

// TestChangeIsAppliedAfterSilenceOfStore guards against a watch whose request or response was
// lost in a silence of the store, and that is awaited for its whole wait after the store is
// back. The connection stays open, so nothing but the missing response shows the loss.
func TestChangeIsAppliedAfterSilenceOfStore(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		// changeAfter is the time from the end of the silence to the change.
		changeAfter time.Duration
	}{
		{"short silence", 50 * time.Millisecond, 1500 * time.Millisecond},
		{"silence between two probes", 600 * time.Millisecond, 1500 * time.Millisecond},
		{"silence of a second", time.Second, 0},
		{"silence of two seconds", 2 * time.Second, 1500 * time.Millisecond},
		{"change at the end of the silence", 2 * time.Second, 0},
		{"late change", 2 * time.Second, 4 * time.Second},
		{"silence of many seconds", 9500 * time.Millisecond, 500 * time.Millisecond},
		{"silence of a minute", time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			// A change just before the silence makes a watch begin within it.
			for changeBefore := -2 * time.Second; changeBefore <= 9*time.Second; changeBefore += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { checkSilence(t, c.silence, c.changeAfter, changeBefore) })
			}
		})
	}
}

// checkSilence publishes a change at the given time before a silence of the store and another
// one after it, and checks when the follower applies the latter.
func checkSilence(t *testing.T, silence, changeAfter, changeBefore time.Duration) {
	t.Helper()
	store := newSilentStore()
	store.publish("1")
	store.silentFrom = time.Now().Add(20 * time.Second)
	store.silentUntil = store.silentFrom.Add(silence)
	state, stop := follow(t, store)
	defer stop()
	time.Sleep(time.Until(store.silentFrom.Add(-changeBefore)))
	store.publish("2")
	time.Sleep(time.Until(store.silentUntil.Add(changeAfter)))
	store.publish("3")
	acknowledgedAt := time.Now()
	bound := max(applyTime, time.Until(store.silentUntil.Add(contactTime))) - spreadTime
	for state.View().Config.Version != 3 {
		if time.Since(acknowledgedAt) > bound {
			t.Fatalf("change %v before the silence: the change after it is not applied within %v", changeBefore, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// follow starts a follower that is a reader. The returned function stops it.
func follow(t *testing.T, store cwpublished.Store) (*cwpublished.State, func()) {
	t.Helper()
	common := &cwcommon.Common{Log: zap.NewNop(), Metrics: tally.NoopScope, Settings: &cwsetting.Settings{FallbackInterval: time.Minute}}
	state := cwpublished.NewState(common, decodeTestItem)
	ctx, cancel := context.WithCancel(t.Context())
	follower := cwpublished.NewFollower(common, state, store, func() bool { return true })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	<-state.Configured()
	return state, func() {
		cancel()
		<-done
	}
}

// TestCallsToQuietStore guards against calls that cost more than a watch at each wait and a
// cheap read each second.
func TestCallsToQuietStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet = 87 * time.Second
		store := newSilentStore()
		store.publish("1")
		_, stop := follow(t, store)
		defer stop()
		time.Sleep(quiet)
		store.mu.Lock()
		defer store.mu.Unlock()
		if store.watches > 11 || store.probes > int(quiet/time.Second) {
			t.Errorf("%d watches and %d probes in %v", store.watches, store.probes, quiet)
		}
	})
}
