package cwconn

import (
	"context"
	"net"
	"time"
)

// handshakeInterval is the time after which a handshake without an answer is tried again on
// another socket, beside the first one. It covers the round trip between regions. TCP itself
// repeats a lost handshake only after a second, which is too late for a caller that has waited
// through a silence of the peer.
const handshakeInterval = 200 * time.Millisecond

// dialResult is the result of one handshake.
type dialResult struct {
	conn net.Conn
	err  error
	// panicValue is that of a panic, which the caller of dial gets.
	panicValue any
}

// dial opens a connection. It begins another handshake at each interval until one is answered.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	go p.shakeHands(ctx, address, results)
	ticker := time.NewTicker(handshakeInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			if r.panicValue != nil {
				panic(r.panicValue)
			}
			return r.conn, r.err
		case <-ticker.C:
			// The interval and the timeout may end together.
			if end, ok := ctx.Deadline(); !ok || time.Now().Before(end) {
				go p.shakeHands(ctx, address, results)
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// shakeHands sends the result of one handshake. If another one was answered first, it closes the
// connection.
func (p *Pool) shakeHands(ctx context.Context, address string, results chan<- dialResult) {
	var r dialResult
	defer func() {
		if v := recover(); v != nil {
			r = dialResult{panicValue: v}
		}
		select {
		case results <- r:
		case <-ctx.Done():
			if r.conn != nil {
				_ = r.conn.Close()
			}
		}
	}()
	r.conn, r.err = p.net.DialContext(ctx, "tcp", address)
}
