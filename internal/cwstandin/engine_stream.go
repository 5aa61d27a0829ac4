package cwstandin

import (
	"context"
	"sync"
)

// engineStream is one generation, which any number of readers can follow.
type engineStream struct {
	mu              sync.Mutex
	totalTokens     int
	generatedTokens int
	isStopped       bool
	changed         chan struct{}
}

func newEngineStream(total int) *engineStream {
	return &engineStream{totalTokens: total, changed: make(chan struct{})}
}

// addToken makes one more token and reports whether there is more to make.
func (s *engineStream) addToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped || s.generatedTokens == s.totalTokens {
		return false
	}
	s.generatedTokens++
	s.notifyReaders()
	return s.generatedTokens < s.totalTokens
}

func (s *engineStream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopped = true
	s.notifyReaders()
}

func (s *engineStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitForToken returns true once token i is made, and false if the stream ends before.
func (s *engineStream) waitForToken(ctx context.Context, i int) (bool, error) {
	for {
		s.mu.Lock()
		made, ended, changed := s.generatedTokens, s.isStopped || i >= s.totalTokens, s.changed
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
