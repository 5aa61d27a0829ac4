// Package cwconn sends requests to endpoints and to other instances over kept
// connections. Unlike net/http's client it never repeats a request by itself, it
// knows whether a byte of a request has left, and it tells answers that belong to
// other requests apart.
package cwconn

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwnet"
)

const (
	// DialTimeout bounds the opening of a connection. It leaves room for one lost
	// packet between regions.
	DialTimeout = 800 * time.Millisecond
	// sweepInterval is how often connections that lay idle too long are closed.
	sweepInterval = 2 * time.Second
	// addressRetention is when an address without connections is forgotten.
	addressRetention = time.Minute
)

// ErrConnLimit means that all connections that this instance may have to an
// address are in use.
var ErrConnLimit = errors.New("all connections are in use")

// Pool keeps connections by address.
type Pool struct {
	net          cwnet.Net
	mu           sync.Mutex
	addressPools map[string]*addressPool
}

// NewPool returns a pool that connects through n.
func NewPool(n cwnet.Net) *Pool {
	return &Pool{net: n, addressPools: make(map[string]*addressPool)}
}

// Run closes connections that lay idle too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, sweepInterval)
		p.sweep(time.Now())
	}
	p.sweep(time.Time{})
	return nil
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.addressPools {
		t.closeIdle(now)
		if t.isUnusedSince(now.Add(-addressRetention)) {
			delete(p.addressPools, address)
		}
	}
}

// CloseIdle closes the idle connections to an address: what silenced one of them
// may have silenced the others.
func (p *Pool) CloseIdle(address string) {
	p.addressPool(address).closeIdle(time.Time{})
}

func (p *Pool) addressPool(address string) *addressPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.addressPools[address]
	if t == nil {
		t = &addressPool{}
		p.addressPools[address] = t
	}
	return t
}

// Do sends a call and returns once the head of the answer has arrived. The error
// is a *SendError. The end of ctx closes the connection, also while the body is
// read.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, error) {
	t := p.addressPool(call.Address)
	var c *conn
	if !call.ForceNewConn {
		c = t.takeIdle(time.Now())
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx, t, call); err != nil {
			return nil, &CallError{Step: "connect to", Peer: call.Address, Err: err}
		}
	}
	return c.do(ctx, call)
}

// Preconnect opens a connection and keeps it for the next call. It tells whether the
// address takes connections.
func (p *Pool) Preconnect(ctx context.Context, address string, maxConns int) error {
	t := p.addressPool(address)
	c, err := p.open(ctx, t, &Call{Address: address, MaxConns: maxConns})
	if err != nil {
		return &CallError{Step: "connect to", Peer: address, Err: err}
	}
	c.idleUntil = time.Now().Add(defaultIdleTimeout)
	t.putIdle(c)
	return nil
}

func (p *Pool) open(ctx context.Context, t *addressPool, call *Call) (*conn, error) {
	if !t.reserveConn(call.MaxConns) {
		return nil, ErrConnLimit
	}
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.net.DialContext(dialCtx, "tcp", call.Address)
	if err != nil {
		t.releaseConn()
		return nil, withContextCause(ctx, err)
	}
	return &conn{Conn: raw, pool: t, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}
