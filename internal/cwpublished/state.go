package cwpublished

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// State is the published state as this instance knows it.
type State struct {
	*cwcommon.Common
	// OnApply is called with the revision after each change or confirmation.
	OnApply func(revision uint64)
	// OnStoreContact is called when the store is lost or back.
	OnStoreContact func(away bool)

	mu           sync.Mutex
	items        *ItemSet
	interpreter  *interpreter
	generation   uint64
	recheckTimer *time.Timer
	// configured is closed once there is a configuration.
	configured chan struct{}
	view       atomic.Pointer[View]
}

// NewState returns a state without items.
func NewState(common *cwcommon.Common, decode Decoder) *State {
	s := &State{Common: common, items: NewItemSet(), interpreter: newInterpreter(decode), configured: make(chan struct{})}
	s.view.Store(&View{})
	return s
}

// View returns the latest view; it never blocks.
func (s *State) View() *View {
	return s.view.Load()
}

// Configured is closed once there is a configuration.
func (s *State) Configured() <-chan struct{} {
	return s.configured
}

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() uint64 {
	return s.View().Revision
}

// Apply takes in changes from the source.
func (s *State) Apply(source string, d Delta) {
	s.apply(source, d)
	if s.OnApply != nil {
		s.OnApply(s.Revision())
	}
}

func (s *State) apply(source string, d Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.items.Revision()
	var news []Item
	if d.IsFull {
		news = s.items.Replace(d.Items, d.Revision)
	} else {
		news = s.items.Apply(d.Items, d.Revision)
	}
	s.interpreter.noteStoreUnreachableAt(d.StoreUnreachableAt)
	for _, item := range news {
		if err := s.interpreter.apply(item, now); err != nil {
			s.Log.Warn("published item not understood", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), zap.Error(err))
		}
	}
	if len(news) > 0 || before == 0 {
		s.Log.Info("published state changed", zap.String("source", source), zap.Int("changes", len(news)),
			zap.Uint64("revision", s.items.Revision()), zap.Uint64("before", before))
	}
	s.updateView(now)
}

// SetStoreUnreachable notes whether the store answers this instance.
func (s *State) SetStoreUnreachable(away bool) {
	if s.setStoreUnreachable(away) && s.OnStoreContact != nil {
		s.OnStoreContact(away)
	}
}

// IsStoreUnreachable reports whether the store does not answer this instance.
func (s *State) IsStoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interpreter.isStoreUnreachable
}

// setStoreUnreachable takes the news in and reports whether it is a change.
func (s *State) setStoreUnreachable(away bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := away != s.interpreter.isStoreUnreachable
	if changed {
		s.Log.Info("store contact changed", zap.Bool("away", away), zap.Uint64("revision", s.items.Revision()))
	}
	s.interpreter.setStoreUnreachable(away, now)
	if !away {
		s.updateView(now)
	}
	return changed
}

// ChangesSince returns what changed after the revision, for a peer.
func (s *State) ChangesSince(after uint64) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, whole := s.items.ChangesSince(after)
	d := Delta{Items: items, Revision: s.items.Revision(), IsFull: whole, StoreUnreachableAt: s.interpreter.storeUnreachableAt}
	if s.interpreter.isStoreUnreachable {
		d.StoreUnreachableAt = time.Now()
	}
	return d
}

// updateView makes the next view. The caller holds mu.
func (s *State) updateView(now time.Time) {
	s.generation++
	again := s.interpreter.dropMissing(now)
	old := s.View()
	next := s.interpreter.view(s.generation, s.items.Revision())
	s.view.Store(next)
	if old.Config == nil && next.Config != nil {
		close(s.configured)
	}
	if next.Config != old.Config && next.Config != nil {
		s.Log.Info("configuration in force", zap.Uint64("version", next.Config.Version), zap.Int("routes", len(next.Config.Routes)))
	}
	if again.IsZero() {
		return
	}
	if s.recheckTimer != nil {
		s.recheckTimer.Stop()
	}
	s.recheckTimer = time.AfterFunc(time.Until(again), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateView(time.Now())
	})
}
