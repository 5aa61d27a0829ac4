// Package cwserver runs HTTP servers that account for every connection they accept.
package cwserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// keepAliveTimeout is the time after which an idle connection is closed.
const keepAliveTimeout = time.Minute

// Server is an HTTP server with its listen address. It logs and counts each connection
// that it closes without a response to a request which it has begun to read.
type Server struct {
	*cwcommon.Common
	name, address string
	// maxConns is the largest number of open connections; 0 means no limit.
	maxConns   int
	http       *http.Server
	unanswered tally.Counter

	isListening atomic.Bool
	// mu guards conns.
	mu    sync.Mutex
	conns map[*conn]bool
}

// NewServer returns a server that has not been started. The name identifies it in logs and
// metrics. New connections are closed while maxConns are open; 0 means no limit.
func NewServer(common *cwcommon.Common, name, address string, handler http.Handler, maxConns int) *Server {
	s := &Server{
		Common:     common,
		name:       name,
		address:    address,
		maxConns:   maxConns,
		unanswered: common.Metrics.Tagged(map[string]string{"server": name}).Counter("connections_unanswered"),
		conns:      make(map[*conn]bool),
	}
	s.http = &http.Server{
		ConnState:         s.handleState,
		Handler:           handler,
		ReadHeaderTimeout: common.Settings.HeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    common.Settings.MaxHeaderBytes,
		// NewStdLog logs at level info, so the messages of net/http are dropped.
		ErrorLog: zap.NewStdLog(common.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	return s
}

// Address returns the address to listen on.
func (s *Server) Address() string {
	return s.address
}

// Serve accepts connections from l until the server is shut down, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.isListening.Store(true)
	err := s.http.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listener and the idle connections, and returns once the active
// connections are closed too, or with the error of ctx when it ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.logListenerClosed()
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections, also those with requests in progress.
func (s *Server) Close() error {
	return s.http.Close()
}

// logListenerClosed logs the number of open connections by state.
func (s *Server) logListenerClosed() {
	s.isListening.Store(false)
	counts := make(map[http.ConnState]int)
	s.mu.Lock()
	for c := range s.conns {
		counts[c.currentState()]++
	}
	s.mu.Unlock()
	s.Log.Info("listener closed", zap.String("server", s.name), zap.Int("new", counts[http.StateNew]),
		zap.Int("idle", counts[http.StateIdle]), zap.Int("active", counts[http.StateActive]))
}

// handleState is called by net/http for each change of a connection's state.
func (s *Server) handleState(raw net.Conn, state http.ConnState) {
	c := raw.(*conn)
	c.setState(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.maxConns > 0 && len(s.conns) > s.maxConns {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}
