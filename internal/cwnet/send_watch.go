package cwnet

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// SendWatch tells whether any byte of one HTTP request may have left.
type SendWatch struct {
	mu    sync.Mutex
	conn  *CountedConn
	start int64
	blind bool
}

// Attach returns a context under which one request is watched. It works with a
// transport whose connections are CountedConn.
func (s *SendWatch) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *SendWatch) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*CountedConn)
	if !ok || s.conn != nil && s.conn.Sent() != s.start {
		s.blind = true
		return
	}
	s.conn, s.start = conn, conn.Sent()
}

// NothingSent reports whether it is certain that no byte of the request left.
func (s *SendWatch) NothingSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blind {
		return false
	}
	return s.conn == nil || s.conn.Sent() == s.start
}
