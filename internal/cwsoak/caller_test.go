package cwsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	headerRequestID = "Clementinewell-Request-Id"
	// callerDelay is the longest time that a caller has a new connection open before it
	// sends a request, or that it takes between header and body.
	callerDelay = 300 * time.Millisecond
	// keptConnCount is the number of idle connections that a caller keeps to an instance.
	keptConnCount = 3
)

// caller sends requests to instances. It keeps connections open until an instance closes
// them.
type caller struct {
	s     *soakRun
	rng   *rand.Rand
	kinds []requestKind
	// isSlow delays half of the requests on new connections, and the body of a quarter.
	isSlow bool
	conns  map[*gatewayProcess][]*callerConn
	// lastConns are connections on which an instance takes no more requests. A slow caller
	// leaves it to the instance to close them.
	lastConns []*callerConn
}

// run sends requests of all kinds to two instances until the context ends.
func (c *caller) run(ctx context.Context, n int) {
	c.conns = make(map[*gatewayProcess][]*callerConn)
	for ctx.Err() == nil {
		p := c.s.instances[(n+c.rng.IntN(2))%len(c.s.instances)]
		k := c.kinds[c.rng.IntN(len(c.kinds))]
		resp := c.sendRequest(p, k)
		c.s.checkResponse(resp, k)
		c.takeUp(resp, k)
		<-time.After(callerInterval)
	}
	for _, conns := range c.conns {
		c.lastConns = append(c.lastConns, conns...)
	}
	for _, conn := range c.lastConns {
		_ = conn.Close()
	}
}

// sendRequest sends a request on a kept or new connection. A slow caller sends half of its
// requests on a new connection that has been open for up to callerDelay.
func (c *caller) sendRequest(p *gatewayProcess, k requestKind) response {
	req := c.s.newRequest(p, k)
	conn, isDelayed := (*callerConn)(nil), c.isSlow && c.rng.IntN(2) == 0
	if !isDelayed {
		conn = c.takeKept(p)
	}
	if conn == nil {
		var err error
		if conn, err = dialInstance(p); err != nil {
			resp := response{requestID: req.Header.Get(headerRequestID), instance: p, startedAt: time.Now(), err: err}
			c.s.recordFailure(resp)
			return resp
		}
	}
	if isDelayed {
		<-time.After(c.randomDelay())
	}
	splitDelay := time.Duration(0)
	if c.isSlow && c.rng.IntN(4) == 0 {
		splitDelay = c.randomDelay()
	}
	resp := conn.exchange(req, splitDelay)
	resp.route = k.route
	if !conn.usedAt.IsZero() {
		resp.idleTime = resp.startedAt.Sub(conn.usedAt)
	}
	c.s.recordFailure(resp)
	if c.isSlow && resp.isLast {
		c.lastConns = append(c.lastConns, conn)
		return resp
	}
	if resp.err != nil || resp.isLast || len(c.conns[p]) >= keptConnCount {
		_ = conn.Close()
		return resp
	}
	conn.usedAt = resp.endedAt
	c.conns[p] = append(c.conns[p], conn)
	return resp
}

// takeKept returns one of the kept connections to an instance that is still open and has
// been idle for at most four fifths of the time that is allowed, nil if there is none.
func (c *caller) takeKept(p *gatewayProcess) *callerConn {
	c.s.mu.Lock()
	maxIdle := c.s.variant.idleTimeout() * 4 / 5
	c.s.mu.Unlock()
	for n := len(c.conns[p]); n > 0; n-- {
		i := c.rng.IntN(n)
		conn := c.conns[p][i]
		c.conns[p] = slices.Delete(c.conns[p], i, i+1)
		if info, err := conn.tcpInfo(); err == nil && info.State == tcpEstablished && time.Since(conn.usedAt) <= maxIdle {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *caller) randomDelay() time.Duration {
	return time.Duration(c.rng.Int64N(int64(callerDelay)))
}

// newRequest returns a request with its own request ID.
func (s *soakRun) newRequest(p *gatewayProcess, k requestKind) *http.Request {
	id := fmt.Sprint("r", s.requests.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8001/"+k.route+"/x", strings.NewReader("body of "+id))
	if err != nil {
		s.t.Error(err)
	}
	req.Host = routeHost
	req.Header.Set(headerRequestID, id)
	req.Header.Set("Clementinewell-Deadline-Ms", "4000")
	s.setKey(req, id, k.key)
	if k.tokens != "" {
		req.Header.Set("Clementinewell-Token-Count", k.tokens)
	}
	return req
}
