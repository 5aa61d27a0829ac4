// Package cwserver runs HTTP servers that, while they stop, still answer the requests they
// have read.
package cwserver

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// connKey is the key of the *conn in the context of its requests.
type connKey struct{}

// Server is an HTTP server with its listen address. Unlike http.Server it can stop without
// dropping a request that it has read: Server.Shutdown of net/http answers no request on a
// connection that was accepted before the call and used for the first time after it.
type Server struct {
	*cwcommon.Common
	// RequestID returns the identifier of a request from its header, for the log. It may be
	// nil, and is set before Serve.
	RequestID     func(h http.Header) string
	name, address string
	handler       http.Handler
	limits        Limits
	http          *http.Server
	// serving counts the running calls of Serve.
	serving sync.WaitGroup
	// isKeepAliveOff is set if responses announce that the connection will be closed.
	isKeepAliveOff atomic.Bool
	isListening    atomic.Bool
	isClosed       atomic.Bool
	// isGraceOver is set if the time for a drain was over before all connections were closed.
	isGraceOver atomic.Bool
	// headerLimit and idleLimit are the time limits that the configuration allows peers.
	headerLimit, idleLimit heldLimit

	// connChanged has a value after a connection has changed its state.
	connChanged chan struct{}
	// mu guards the fields below.
	mu         sync.Mutex
	listener   *listener
	isDraining bool
	conns      map[*conn]bool
}

// NewServer returns a server that has not been started. The name identifies it in logs and
// metrics.
func NewServer(common *cwcommon.Common, name, address string, handler http.Handler, limits Limits) *Server {
	s := &Server{
		Common:      common,
		name:        name,
		address:     address,
		handler:     handler,
		limits:      limits,
		conns:       make(map[*conn]bool),
		connChanged: make(chan struct{}, 1),
	}
	s.http = &http.Server{
		ConnState:      s.handleState,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		Handler:        http.HandlerFunc(s.handle),
		MaxHeaderBytes: common.Settings.MaxHeaderBytes,
		ErrorLog:       log.New(errorLog{server: s}, "", 0),
	}
	return s
}

// Address returns the address to listen on.
func (s *Server) Address() string {
	return s.address
}

// Serve accepts connections from l until the server is drained or closed, and then returns
// nil. It closes l.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.isDraining {
		s.mu.Unlock()
		return l.Close()
	}
	accepting := &listener{Listener: l, server: s}
	s.listener = accepting
	s.serving.Add(1)
	s.isListening.Store(true)
	s.mu.Unlock()
	defer s.serving.Done()
	err := s.http.Serve(accepting)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && !s.isListening.Load() {
		return nil
	}
	return err
}

// handle serves one request. It logs a panic of the handler and responds with status 500, or
// aborts the connection if a response has begun.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	id := ""
	if s.RequestID != nil {
		id = s.RequestID(r.Header)
	}
	c.beginRequest(id)
	tracked := &trackedWriter{ResponseWriter: w}
	var body *trackedBody
	if r.ContentLength != 0 {
		body = &trackedBody{ReadCloser: r.Body, request: r}
		r.Body = body
	}
	defer func() {
		switch p := recover(); p {
		case nil:
			c.endRequest("")
		case http.ErrAbortHandler:
			c.endRequest(endAborted)
			panic(p)
		default:
			s.logPanic(id, p)
			if tracked.hasBegun {
				c.endRequest(endPanicked)
				panic(http.ErrAbortHandler)
			}
			writeInternalError(w)
			endBody(c, w, body)
			c.endRequest("")
		}
	}()
	if s.isKeepAliveOff.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case c.takeExcess() && s.isFull():
		s.refuseExcess(tracked, id)
	case !c.claimParsedHead(r.Header):
		s.refuseParsedHead(tracked, id)
	default:
		s.handler.ServeHTTP(tracked, r)
	}
	endBody(c, w, body)
}

// refuseExcess responds that the request was not run because there are too many connections.
func (s *Server) refuseExcess(w http.ResponseWriter, requestID string) {
	s.Metrics.Tagged(map[string]string{"server": s.name}).Counter("connections_refused").Inc(1)
	s.Log.Info("request refused at the connection limit", zap.String("server", s.name), zap.String("request", requestID))
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", excessRetryAfterSeconds)
	http.Error(w, "too many connections", http.StatusServiceUnavailable)
}

// writeInternalError responds that the request failed. It removes what the handler has set:
// the response states nothing else about the request.
func writeInternalError(w http.ResponseWriter) {
	clear(w.Header())
	w.Header().Set("Connection", "close")
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// logPanic counts and logs the panic of a handler. It runs in the deferred function, so that the stack is
// that of the panic.
func (s *Server) logPanic(requestID string, value any) {
	s.Metrics.Tagged(map[string]string{"server": s.name}).Counter("handler_panics").Inc(1)
	s.Log.Error("handler panicked", append(cwcommon.PanicFields(value), zap.String("server", s.name), zap.String("request", requestID))...)
}

// endBody limits the time for what the handler has left of the request's body, which is nil if
// there is none.
func endBody(c *conn, w http.ResponseWriter, body *trackedBody) {
	if body == nil || body.hasEnded.Load() {
		// From here on net/http waits for the next request. A time limit would end that, and
		// cancel all further requests of the connection, if the response takes long to write.
		return
	}
	limitBodyDiscard(w)
	// net/http leaves the rest of the body unread if it is long or the connection is to be closed.
	// Closing the connection then would reset it before the peer has read the response.
	c.lingerOnClose()
}

// limitBodyDiscard limits the time for which net/http reads what a handler has left of the
// body. An error means that the connection is closed already.
func limitBodyDiscard(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
}

// DisableKeepAlives makes all further responses announce that their connection will be
// closed. Idle connections stay open.
func (s *Server) DisableKeepAlives() {
	s.isKeepAliveOff.Store(true)
}

// Drain closes the listener and returns once all connections are closed, or with the error
// of ctx when it ends. Until then each request that is read gets its response. A connection
// that had no request yet is closed after arrivalTimeout, so that a request that is already
// under way is served. One that had a request before was not told that it will be closed, so it
// stays open as long as there is a request on another one.
func (s *Server) Drain(ctx context.Context, arrivalTimeout time.Duration) error {
	s.DisableKeepAlives()
	s.closeListener()
	err := s.drainConns(ctx, arrivalTimeout)
	if err != nil {
		s.isGraceOver.Store(true)
	}
	return err
}

func (s *Server) drainConns(ctx context.Context, arrivalTimeout time.Duration) error {
	arrivalCtx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	noneOpen := func() bool { return s.countConns(func(*conn) bool { return true }) == 0 }
	if s.awaitConns(arrivalCtx, noneOpen) == nil {
		return nil
	}
	s.closeUnused(func(c *conn) bool { return c.currentState() == http.StateNew })
	noneInUse := func() bool { return s.countConns(func(c *conn) bool { return !c.isKept() }) == 0 }
	if err := s.awaitConns(ctx, noneInUse); err != nil {
		return err
	}
	s.closeUnused(func(*conn) bool { return true })
	return s.awaitConns(ctx, noneOpen)
}

// closeUnused closes the connections that match and have no request.
func (s *Server) closeUnused(matches func(c *conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if matches(c) {
			c.closeWhenUnused()
		}
	}
}

// awaitConns waits until isDone returns true, and calls it each time a connection is closed
// or changes its state. It returns the error of ctx when that ends.
func (s *Server) awaitConns(ctx context.Context, isDone func() bool) error {
	for !isDone() {
		select {
		case <-s.connChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections, also those with requests in progress.
func (s *Server) Close() error {
	s.isListening.Store(false)
	s.isClosed.Store(true)
	return s.http.Close()
}

// closeListener accepts the connections that wait, closes the listener, and returns once all
// connections that it accepted are in conns. It logs their number by state.
func (s *Server) closeListener() {
	s.mu.Lock()
	s.isDraining = true
	l := s.listener
	s.mu.Unlock()
	s.isListening.Store(false)
	lateCount := int64(0)
	if l != nil {
		if err := l.stop(); err != nil {
			s.Log.Warn("listener not closed", zap.String("server", s.name), zap.Error(err))
		}
		s.serving.Wait()
		lateCount = l.lateCount.Load()
	}
	counts := make(map[http.ConnState]int)
	s.mu.Lock()
	for c := range s.conns {
		counts[c.currentState()]++
	}
	s.mu.Unlock()
	s.Log.Info("listener closed", zap.String("server", s.name), zap.Int("new", counts[http.StateNew]),
		zap.Int("idle", counts[http.StateIdle]), zap.Int("active", counts[http.StateActive]),
		zap.Int64("late", lateCount))
}

// timeLimits returns the time limits in force: for a head, and for the first byte of the first
// and of any other request on a connection.
func (s *Server) timeLimits() (header, first, idle time.Duration) {
	allowedHeader, allowedIdle := time.Duration(0), time.Duration(0)
	if s.limits.Times != nil {
		allowedHeader, allowedIdle = s.limits.Times()
	}
	now := time.Now()
	header = s.headerLimit.update(max(s.Settings.HeaderTimeout, allowedHeader), now)
	idle = s.idleLimit.update(max(keepAliveTimeout, allowedIdle), now)
	return header, max(s.Settings.HeaderTimeout, allowedIdle), idle
}

// countConns returns the number of open connections that match.
func (s *Server) countConns(matches func(c *conn) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if matches(c) {
			n++
		}
	}
	return n
}

// isFull reports whether there are more connections than allowed.
func (s *Server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Conns > 0 && len(s.conns) > s.limits.Conns
}

// countEnd counts by reason a connection that ended too early.
func (s *Server) countEnd(counter string, reason endReason) {
	s.Metrics.Tagged(map[string]string{"server": s.name, "reason": string(reason)}).Counter(counter).Inc(1)
}

// handleState is called by net/http for each change of a connection's state.
func (s *Server) handleState(raw net.Conn, state http.ConnState) {
	c := raw.(*conn)
	c.setState(state)
	switch state {
	case http.StateNew:
		s.addConn(c)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
	select {
	case s.connChanged <- struct{}{}:
	default:
	}
}

// evictUnused closes the oldest connection without a request, other than the one that was just
// accepted, if the limits want that. The caller holds mu.
func (s *Server) evictUnused(accepted *conn) {
	if !s.limits.EvictsUnused {
		return
	}
	var oldest *conn
	for c := range s.conns {
		if c != accepted && c.isEvictable() && (oldest == nil || c.openedAt.Before(oldest.openedAt)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.closeWhenUnused()
	}
}

// addConn adds a connection that was accepted. It marks or closes one in excess of the limit.
func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.limits.Conns > 0 && len(s.conns) > s.limits.Conns {
		c.setExcess()
		s.evictUnused(c)
	}
	if s.limits.Conns > 0 && len(s.conns) > s.limits.Conns+maxExcessConns {
		c.endRequest(endConnLimit)
		_ = c.Close()
	}
}
