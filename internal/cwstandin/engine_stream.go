package cwstandin

import (
	"context"
	"sync"
)

// engineStream is one generation. Any number of readers can read it concurrently.
type engineStream struct {
	mu              sync.Mutex
	totalTokens     int
	generatedTokens int
	isStopped       bool
	changed         chan struct{}
}

func newEngineStream(totalTokens int) *engineStream {
	return &engineStream{totalTokens: totalTokens, changed: make(chan struct{})}
}

// addToken generates one token, unless the stream has ended, and reports whether more
// remain.
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

// notifyReaders wakes all readers. The caller holds mu.
func (s *engineStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitForToken returns true once the token with index i has been generated, and false if
// the stream ends before it. It returns the context's error if the context ends first.
func (s *engineStream) waitForToken(ctx context.Context, i int) (bool, error) {
	for {
		s.mu.Lock()
		generated, ended, changed := s.generatedTokens, s.isStopped || i >= s.totalTokens, s.changed
		s.mu.Unlock()
		if i < generated {
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
