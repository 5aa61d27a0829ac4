package cwnet

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// SendTracker tells whether any byte of one HTTP request may have left.
type SendTracker struct {
	mu          sync.Mutex
	conn        *CountingConn
	sentBefore  int64
	isUncertain bool
}

// Attach returns a context under which one request is watched. It works with a
// transport whose connections are CountedConn.
func (s *SendTracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *SendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*CountingConn)
	if !ok || s.conn != nil && s.conn.SentBytes() != s.sentBefore {
		s.isUncertain = true
		return
	}
	s.conn, s.sentBefore = conn, conn.SentBytes()
}

// HasSentNothing reports whether it is certain that no byte of the request left.
func (s *SendTracker) HasSentNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUncertain {
		return false
	}
	return s.conn == nil || s.conn.SentBytes() == s.sentBefore
}
