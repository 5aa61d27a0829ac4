// Package cwconn sends requests to endpoints and to other instances over persistent
// connections. Unlike net/http's client it never retries a request, it reports whether
// a byte of a request may have been sent, and it skips responses that belong to other
// requests.
package cwconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

const (
	// DialTimeout is the timeout for opening a connection. It covers the round trips between
	// all regions, and several handshakes.
	DialTimeout = 800 * time.Millisecond
	// sweepInterval is the interval at which connections whose idle timeout has passed are
	// closed.
	sweepInterval = 2 * time.Second
	// addressRetention is how long the pool of an address without connections is kept
	// after its last use.
	addressRetention = time.Minute
)

// ErrConnLimit means that the limit of connections to an address is reached and none of
// them is idle.
var ErrConnLimit = errors.New("connection limit of the address reached")

// ErrNoAnswer means that an address has neither accepted nor refused a connection within
// the timeout.
var ErrNoAnswer = errors.New("no answer within the dial timeout")

// Pool holds the connections to all addresses.
type Pool struct {
	// Budget limits what is kept of all responses before their bodies are read. It must be set before
	// the first call; nil means no limit.
	Budget *cwlimit.Budget

	net          cwnet.Net
	mu           sync.Mutex
	addressPools map[string]*addressPool
}

// NewPool returns a Pool that opens connections through n.
func NewPool(n cwnet.Net) *Pool {
	return &Pool{net: n, addressPools: make(map[string]*addressPool)}
}

// Run closes connections whose idle timeout has passed, until ctx ends. It then closes
// all idle ones.
func (p *Pool) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, sweepInterval)
		p.sweep(time.Now())
	}
	p.sweep(time.Time{})
	return nil
}

// sweep closes the connections whose idle timeout has passed and removes the pools of
// unused addresses.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.addressPools {
		pool.closeIdle(now)
		if pool.isUnusedSince(now.Add(-addressRetention)) {
			delete(p.addressPools, address)
		}
	}
}

// CloseIdle closes the idle connections to an address. It is called after a failure of
// one connection, whose cause may affect the others.
func (p *Pool) CloseIdle(address string) {
	p.addressPool(address).closeIdle(time.Time{})
}

// addressPool returns the pool of an address; it adds one if there is none.
func (p *Pool) addressPool(address string) *addressPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.addressPools[address]
	if pool == nil {
		pool = &addressPool{}
		p.addressPools[address] = pool
	}
	return pool
}

// Do sends a call and returns after the head of the response has been read. The error
// is a *CallError. The end of ctx closes the connection, also while the body is read. The
// caller must read the body to its end or close the response.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, error) {
	if ctx.Err() != nil {
		return nil, notSentError(ctx, call)
	}
	pool := p.addressPool(call.Address)
	var c *conn
	if !call.ForceNewConn {
		c = pool.takeIdle(call, time.Now())
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx, pool, call, DialTimeout); err != nil {
			return nil, &CallError{Step: "connect to", Peer: call.Address, Err: err}
		}
		if ctx.Err() != nil {
			c.keepUnused()
			return nil, notSentError(ctx, call)
		}
		if call.Admit != nil {
			if err := call.Admit(); err != nil {
				c.keepUnused()
				return nil, &CallError{Step: "send to", Peer: call.Address, Err: err}
			}
		}
	}
	return c.do(ctx, call)
}

// notSentError returns the error of a call whose context has ended before it was sent.
func notSentError(ctx context.Context, call *Call) *CallError {
	return &CallError{Step: "send to", Peer: call.Address, Err: context.Cause(ctx)}
}

// Preconnect opens a connection and keeps it for the next call. The error is a
// *CallError; it wraps ErrConnLimit if maxConns connections are open already. A maxConns
// of 0 means no limit.
func (p *Pool) Preconnect(ctx context.Context, address string, maxConns int, timeout time.Duration) error {
	pool := p.addressPool(address)
	c, err := p.open(ctx, pool, &Call{Address: address, MaxConns: maxConns}, timeout)
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Err: err}
	}
	c.keepUnused()
	return nil
}

// Reach opens a connection that the peer must keep open for a time: one that it accepted right before it
// ended is closed then. The connection is kept for the next call, unless maxConns are open already: it is
// then opened beside them, and closed. The error is a *CallError.
func (p *Pool) Reach(ctx context.Context, address string, maxConns int, timeout, lasting time.Duration) error {
	pool := p.addressPool(address)
	c, err := p.open(ctx, pool, &Call{Address: address, MaxConns: maxConns}, timeout)
	isBeside := errors.Is(err, ErrConnLimit)
	if isBeside {
		c, err = p.open(ctx, pool, &Call{Address: address}, timeout)
	}
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Err: err}
	}
	_ = c.SetReadDeadline(time.Now().Add(lasting))
	_, err = c.reader.Peek(1)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.finish(false, nil)
		return &CallError{Step: "keep connection to", Peer: address, Err: err}
	}
	if isBeside || err == nil {
		c.finish(false, nil)
		return nil
	}
	_ = c.SetReadDeadline(time.Time{})
	c.keepUnused()
	return nil
}

// Renew replaces the idle connections to an address that have not been used since the given time with a new
// one, and returns how many it closed. They are kept if none can be opened: a peer may refuse new
// connections and serve the open ones. The error is a *CallError.
func (p *Pool) Renew(ctx context.Context, address string, since time.Time, timeout time.Duration) (int, error) {
	pool := p.addressPool(address)
	if !pool.beginRenewal(since) {
		return 0, nil
	}
	defer pool.endRenewal()
	// The limit of connections holds again once the others are closed.
	c, err := p.open(ctx, pool, &Call{Address: address}, timeout)
	if err != nil {
		return 0, &CallError{Step: "connect to", Peer: address, Err: err}
	}
	closed := pool.closeIdleIf(func(c *conn) bool { return c.idleSince.Before(since) })
	if closed == 0 {
		c.finish(false, nil)
		return 0, nil
	}
	c.keepUnused()
	return closed, nil
}

// lossNoticeTime is within which all connections of a process that has ended are noticed to have ended.
const lossNoticeTime = 50 * time.Millisecond

// Survivors tells what became of the connections to an address that were open lossNoticeTime before a
// time: whether one still is, and whether the peer has ended one since.
func (p *Pool) Survivors(address string, at time.Time) (hasOpen, hasLost bool) {
	return p.addressPool(address).survivors(at)
}

// Hold opens a connection and keeps it without a call until the peer closes it or ctx ends. It does not
// count against the limits of calls. The error is a *CallError.
func (p *Pool) Hold(ctx context.Context, address string, timeout time.Duration) error {
	c, err := p.open(ctx, &addressPool{}, &Call{Address: address}, timeout)
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Err: err}
	}
	defer context.AfterFunc(ctx, func() { _ = c.Conn.Close() })()
	_, err = c.reader.Peek(1)
	c.finish(false, nil)
	return &CallError{Step: "hold connection to", Peer: address, Sent: true, Err: err}
}

// open opens a connection within the limit of the call. The error wraps ErrNoAnswer if the
// timeout has passed.
func (p *Pool) open(ctx context.Context, pool *addressPool, call *Call, timeout time.Duration) (*conn, error) {
	if !pool.reserveConn(call.MaxConns) {
		return nil, ErrConnLimit
	}
	isOpen := false
	defer func() {
		if !isOpen {
			pool.releaseConn()
		}
	}()
	dialCtx, cancel := context.WithTimeoutCause(ctx, timeout, ErrNoAnswer)
	defer cancel()
	raw, err := p.dial(dialCtx, call.Address)
	if isDialTimeout(err) && dialCtx.Err() == nil {
		// The dialer may notice the end of the timeout before the context does.
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if err != nil {
		return nil, withContextCause(dialCtx, err)
	}
	isOpen = true
	headReader := cwlimit.NewHeadReader(raw, call.Address, p.Budget)
	return &conn{Conn: raw, openedAt: time.Now(), pool: pool, headReader: headReader, budget: p.Budget, reader: bufio.NewReaderSize(headReader, readBufferBytes)}, nil
}

func isDialTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
