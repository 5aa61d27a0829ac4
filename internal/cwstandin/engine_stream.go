package cwstandin

import (
	"context"
	"sync"
)

// engineStream is one generation, which any number of readers can follow.
type engineStream struct {
	mu      sync.Mutex
	total   int
	made    int
	stopped bool
	changed chan struct{}
}

func newEngineStream(total int) *engineStream {
	return &engineStream{total: total, changed: make(chan struct{})}
}

// grow makes one more token and reports whether there is more to make.
func (s *engineStream) grow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.made == s.total {
		return false
	}
	s.made++
	s.wake()
	return s.made < s.total
}

func (s *engineStream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.wake()
}

func (s *engineStream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait returns true once token i is made, and false if the stream ends before.
func (s *engineStream) wait(ctx context.Context, i int) (bool, error) {
	for {
		s.mu.Lock()
		made, ended, changed := s.made, s.stopped || i >= s.total, s.changed
		s.mu.Unlock()
		if i < made {
			return true, nil
		}
		if ended {
			return false, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
