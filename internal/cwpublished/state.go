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
	// OnStore is called when the store is lost or back.
	OnStore func(away bool)

	mu          sync.Mutex
	book        *Book
	interpreter *interpreter
	generation  uint64
	recheck     *time.Timer
	// configured is closed once there is a configuration.
	configured chan struct{}
	view       atomic.Pointer[View]
}

// NewState returns a state without items.
func NewState(common *cwcommon.Common, decode Decoder) *State {
	s := &State{Common: common, book: NewBook(), interpreter: newInterpreter(decode), configured: make(chan struct{})}
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
	before := s.book.Current()
	var news []Item
	if d.Whole {
		news = s.book.Replace(d.Items, d.Current)
	} else {
		news = s.book.Apply(d.Items, d.Current)
	}
	s.interpreter.troubled(d.TroubledAt)
	for _, item := range news {
		if err := s.interpreter.take(item, now); err != nil {
			s.Log.Warn("published item not understood", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), zap.Error(err))
		}
	}
	if len(news) > 0 || before == 0 {
		s.Log.Info("published state changed", zap.String("source", source), zap.Int("changes", len(news)),
			zap.Uint64("revision", s.book.Current()), zap.Uint64("before", before))
	}
	s.publish(now)
}

// StoreAway notes whether the store answers this instance.
func (s *State) StoreAway(away bool) {
	if s.storeAway(away) && s.OnStore != nil {
		s.OnStore(away)
	}
}

// IsStoreAway reports whether the store does not answer this instance.
func (s *State) IsStoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interpreter.away
}

// storeAway takes the news in and reports whether it is a change.
func (s *State) storeAway(away bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := away != s.interpreter.away
	if changed {
		s.Log.Info("store contact changed", zap.Bool("away", away), zap.Uint64("revision", s.book.Current()))
	}
	s.interpreter.storeAway(away, now)
	if !away {
		s.publish(now)
	}
	return changed
}

// Since returns what changed after the revision, for a peer.
func (s *State) Since(after uint64) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, whole := s.book.Since(after)
	d := Delta{Items: items, Current: s.book.Current(), Whole: whole, TroubledAt: s.interpreter.awayUntil}
	if s.interpreter.away {
		d.TroubledAt = time.Now()
	}
	return d
}

// publish makes the next view. The caller holds mu.
func (s *State) publish(now time.Time) {
	s.generation++
	again := s.interpreter.settle(now)
	old := s.View()
	next := s.interpreter.view(s.generation, s.book.Current())
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
	if s.recheck != nil {
		s.recheck.Stop()
	}
	s.recheck = time.AfterFunc(time.Until(again), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(time.Now())
	})
}
