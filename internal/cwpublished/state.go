package cwpublished

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// State is this instance's copy of the published state.
type State struct {
	*cwcommon.Common
	// OnApply is called after each Apply with the position of the state. Like
	// OnStoreContact it must be set before the state is used.
	OnApply func(position Position)
	// OnStoreContact is called when the store becomes unreachable or reachable again.
	OnStoreContact func(isUnreachable bool)

	mu           sync.Mutex
	items        *ItemSet
	interpreter  *interpreter
	generation   uint64
	recheckTimer *time.Timer
	// configured is closed once there is a configuration.
	configured chan struct{}
	view       atomic.Pointer[View]
	lag        *lagTracker
}

// NewState returns a state without items.
func NewState(common *cwcommon.Common, decode Decoder) *State {
	s := &State{Common: common, items: NewItemSet(), interpreter: newInterpreter(decode), configured: make(chan struct{}), lag: &lagTracker{Common: common, storeAnswerAt: time.Now()}}
	s.view.Store(&View{})
	return s
}

// View returns the latest view. It never blocks.
func (s *State) View() *View {
	return s.view.Load()
}

// Configured returns a channel that is closed once there is a configuration.
func (s *State) Configured() <-chan struct{} {
	return s.configured
}

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() Revision {
	return s.View().Revision
}

// Apply applies changes. The source, "store" or the address of a peer, is for the log.
func (s *State) Apply(source string, d Delta) {
	s.apply(source, d)
	s.lag.recordHeld(source, s.Revision())
	if s.OnApply != nil {
		s.OnApply(s.Position())
	}
}

// RecordOffer records that the source, "store" or the address of a peer, has the revision.
func (s *State) RecordOffer(source string, revision Revision) {
	s.lag.recordOffer(source, revision)
}

// Lag returns how far the state is behind what this instance was offered.
func (s *State) Lag() Lag {
	s.lag.mu.Lock()
	defer s.lag.mu.Unlock()
	return s.lag.lag()
}

func (s *State) apply(source string, d Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	previousRevision := s.items.Revision()
	isRestored := previousRevision > 0 && d.Revision.Era() > previousRevision.Era()
	if isRestored && !d.IsFull {
		// The changes of the new era don't state what the store has lost.
		return
	}
	var changed []Item
	if d.IsFull && d.Revision > previousRevision || s.removesUnknown(d.Items, previousRevision) {
		s.interpreter.versions.restart(previousRevision, d.Revision, now)
	}
	if d.IsFull {
		changed = s.items.Replace(d.Items, d.Revision)
	} else {
		changed = s.items.Apply(d.Items, d.Revision)
	}
	s.interpreter.recordStoreUnreachableAt(d.StoreUnreachableAt)
	if isRestored {
		s.beginEra(previousRevision, now)
	}
	for _, item := range changed {
		if err := s.interpreter.apply(item, now); err != nil {
			s.Log.Warn("published item could not be decoded", zap.String("key", item.Key), zap.Uint64("revision", item.Revision.StoreRevision()), zap.Error(err))
		}
	}
	if isRestored {
		s.interpreter.isRestoring = false
		s.keepConfig()
	}
	s.adoptKeptConfig(d, now)
	s.recognizeFirstConfig(d.Items)
	if len(changed) > 0 || previousRevision == 0 {
		s.Log.Info("published state changed", zap.String("source", source), zap.Int("changes", len(changed)),
			zap.Uint64("revision", s.items.Revision().StoreRevision()), zap.Uint64("before", previousRevision.StoreRevision()), zap.Uint64("era", s.items.Revision().Era()))
	}
	s.updateView(now)
}

// removesUnknown reports whether changes after the revision remove an item that this instance has never
// had: it came and went between two changes that a peer passed on. The caller holds mu.
func (s *State) removesUnknown(items []Item, revision Revision) bool {
	isWritten := make(map[string]bool)
	for _, item := range items {
		if !item.IsRemoved {
			isWritten[item.Key] = true
		} else if _, isKnown := s.items.Items()[item.Key]; !isKnown && !isWritten[item.Key] && item.Revision > revision {
			return true
		}
	}
	return false
}

// recognizeFirstConfig records that there was no other configuration before the one in force. The
// caller holds mu.
func (s *State) recognizeFirstConfig(items []Item) {
	current := s.interpreter.configItem
	for _, item := range items {
		if item.IsCreation && item.Key == current.Key && item.Revision == current.Revision {
			s.interpreter.versions.configSince = time.Time{}
		}
	}
}

// beginEra prepares for the items of a store that was restored from a copy. The caller holds
// mu.
func (s *State) beginEra(previous Revision, now time.Time) {
	s.Metrics.Counter("store_restores").Inc(1)
	s.Log.Warn("store was restored from a copy", zap.Uint64("era", s.items.Revision().Era()), zap.Uint64("revision", s.items.Revision().StoreRevision()),
		zap.Uint64("eraBefore", previous.Era()), zap.Uint64("before", previous.StoreRevision()))
	s.interpreter.beginEra(now)
}

// keepConfig puts the configuration in force back into the items if the copy has an older
// one, so that peers get it too. The caller holds mu.
func (s *State) keepConfig() {
	if item := s.interpreter.configItem; s.items.Items()[item.Key].Revision != item.Revision && item.Key != "" {
		item.Revision = s.items.Revision()
		s.items.Keep(item)
		s.interpreter.configItem, s.interpreter.isConfigKept = item, true
	}
}

// adoptKeptConfig takes over a configuration that is newer than the own one although its item is not: a
// peer has kept it since the store came back from a copy. The caller holds mu.
func (s *State) adoptKeptConfig(d Delta, now time.Time) {
	in := s.interpreter
	if in.config == nil || d.Revision.Era() != s.items.Revision().Era() {
		return
	}
	for _, item := range d.Items {
		if item.Key != in.configItem.Key || item.IsRemoved || item.Revision > in.configItem.Revision || bytes.Equal(item.Value, in.configItem.Value) {
			continue
		}
		record, err := in.decode(item.Key, item.Value)
		if err != nil || record == nil || record.Config == nil || record.Config.Version <= in.config.Version {
			continue
		}
		s.items.Keep(item)
		in.config, in.configItem, in.isConfigKept, in.versions.configSince = record.Config, item, true, now
	}
}

// Position returns how far the state has come.
func (s *State) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Position{Revision: s.items.Revision()}
	if s.interpreter.isConfigKept {
		p.KeptConfig = s.interpreter.config.Version
	}
	return p
}

// awaitInterval is the interval at which Await checks the revision.
const awaitInterval = 10 * time.Millisecond

// Await waits until the state has reached a revision. It returns false if that takes longer than the
// timeout.
func (s *State) Await(ctx context.Context, revision Revision, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); s.Revision() < revision; {
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false
		}
		cwcommon.Sleep(ctx, awaitInterval)
	}
	return true
}

// SetStoreUnreachable records whether the store is unreachable for this instance, and
// calls OnStoreContact if that is a change.
func (s *State) SetStoreUnreachable(isUnreachable bool) {
	if s.setStoreUnreachable(isUnreachable) && s.OnStoreContact != nil {
		s.OnStoreContact(isUnreachable)
	}
}

// IsStoreUnreachable reports whether the store is unreachable for this instance.
func (s *State) IsStoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interpreter.isStoreUnreachable
}

// setStoreUnreachable records whether the store is unreachable, and reports whether that
// is a change.
func (s *State) setStoreUnreachable(isUnreachable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := isUnreachable != s.interpreter.isStoreUnreachable
	if changed {
		s.Log.Info("store contact changed", zap.Bool("away", isUnreachable), zap.Uint64("revision", s.items.Revision().StoreRevision()))
	}
	s.interpreter.setStoreUnreachable(isUnreachable, now)
	if !isUnreachable {
		s.updateView(now)
	}
	return changed
}

// ChangesSince returns the changes after the revision, for a peer.
func (s *State) ChangesSince(after Revision) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, isFull := s.items.ChangesSince(after)
	d := Delta{Items: items, Revision: s.items.Revision(), IsFull: isFull, StoreUnreachableAt: s.interpreter.storeUnreachableAt}
	if s.interpreter.isStoreUnreachable {
		d.StoreUnreachableAt = time.Now()
	}
	return d
}

// updateView drops endpoints that are missing for too long, and builds and stores the next
// view. It schedules another update if endpoints may have to be dropped later. The caller
// holds mu.
func (s *State) updateView(now time.Time) {
	s.generation++
	recheckAt := s.interpreter.dropMissing(now)
	previous := s.View()
	next := s.interpreter.view(s.generation, s.items.Revision())
	s.view.Store(next)
	if previous.Config == nil && next.Config != nil {
		close(s.configured)
	}
	if next.Config != previous.Config && next.Config != nil {
		s.Log.Info("configuration in force", zap.Uint64("version", next.Config.Version), zap.Int("routes", len(next.Config.Routes)))
	}
	if recheckAt.IsZero() {
		return
	}
	if s.recheckTimer != nil {
		s.recheckTimer.Stop()
	}
	s.recheckTimer = s.AfterFunc(time.Until(recheckAt), "recheckEndpoints", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateView(time.Now())
	})
}
