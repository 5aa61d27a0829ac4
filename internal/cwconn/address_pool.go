package cwconn

import (
	"slices"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// addressPool holds the connections to one address.
type addressPool struct {
	mu sync.Mutex
	// idle are the idle connections; the one used most recently is last.
	idle []*conn
	// inUse are the connections of the calls in progress, and lostAt is when the peer last ended one.
	inUse  map[*conn]struct{}
	lostAt time.Time
	// openConns is the number of connections that are open or being opened.
	openConns int
	// lastTakenAt is when an idle connection was last requested.
	lastTakenAt time.Time
	// isRenewing is set while a connection is opened that is to replace idle ones.
	isRenewing bool
}

// takeIdle returns a usable idle connection for a call, or nil, and closes those that are not usable. It
// prefers the one used most recently: the peer is most likely to close the one that has been idle
// longest.
func (p *addressPool) takeIdle(call *Call, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTakenAt = now
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.isReusable(now) && c.mayCarry(call) {
			return c
		}
		_ = c.Conn.Close()
		p.openConns--
	}
	return nil
}

// reserveConn counts a connection that is about to be opened. It returns false if limit
// connections are open already; a limit of 0 means none.
func (p *addressPool) reserveConn(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openConns >= limit {
		return false
	}
	p.openConns++
	return true
}

// putIdle makes a connection available to other calls.
func (p *addressPool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// beginUse records that a call uses a connection.
func (p *addressPool) beginUse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse == nil {
		p.inUse = make(map[*conn]struct{})
	}
	p.inUse[c] = struct{}{}
}

// endUse records that a call no longer uses a connection, and whether its peer has ended it.
func (p *addressPool) endUse(c *conn, isLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isInUse := p.inUse[c]; isInUse && isLost {
		p.lostAt = time.Now()
	}
	delete(p.inUse, c)
}

// survivors returns what Pool.Survivors does.
func (p *addressPool) survivors(at time.Time) (hasOpen, hasLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	noticedFrom := at.Add(-lossNoticeTime)
	hasLost = p.lostAt.After(noticedFrom)
	check := func(c *conn, isInUse bool) {
		isEstablished, isKnown := cwnet.IsEstablished(c.Conn)
		switch {
		case !c.openedAt.Before(noticedFrom):
			// The next process may have accepted it: a call that broke off dials at once.
		case isEstablished, !isKnown && isInUse:
			hasOpen = true
		case isKnown:
			hasLost = true
		}
	}
	for _, c := range p.idle {
		check(c, false)
	}
	for c := range p.inUse {
		check(c, true)
	}
	return hasOpen, hasLost
}

// releaseConn reduces the count by a connection that was closed or could not be opened.
func (p *addressPool) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// closeIdle closes the connections whose idle timeout has passed, or all idle ones if
// now is zero.
func (p *addressPool) closeIdle(now time.Time) {
	p.closeIdleIf(func(c *conn) bool { return now.IsZero() || !now.Before(c.idleUntil) })
}

// closeIdleIf closes the idle connections for which the condition holds, and returns their number.
func (p *addressPool) closeIdleIf(isClosing func(c *conn) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !isClosing(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
		p.openConns--
	}
	closed := len(p.idle) - len(kept)
	clear(p.idle[len(kept):])
	p.idle = kept
	return closed
}

// beginRenewal reports whether idle connections unused since the given time are to be replaced. That is in
// progress until endRenewal is called.
func (p *addressPool) beginRenewal(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isUnused := func(c *conn) bool { return c.idleSince.Before(since) }
	if p.isRenewing || !slices.ContainsFunc(p.idle, isUnused) {
		return false
	}
	p.isRenewing = true
	return true
}

func (p *addressPool) endRenewal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isRenewing = false
}

// isUnusedSince reports whether no connection is open and none was requested since the
// given time.
func (p *addressPool) isUnusedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns == 0 && p.lastTakenAt.Before(since)
}
