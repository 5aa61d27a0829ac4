package cwstandin

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkProxy stands in for one network link. It can delay, cut or silence it. A
// silenced connection stays open and passes nothing on, for good.
type LinkProxy struct {
	target   string
	listener net.Listener

	mu           sync.Mutex
	delay        time.Duration
	isDown       bool
	stalledConns map[net.Conn]bool
	conns        map[net.Conn]bool
}

// NewLinkProxy relays connections from the listener to the target address.
func NewLinkProxy(l net.Listener, target string) *LinkProxy {
	return &LinkProxy{target: target, listener: l, stalledConns: make(map[net.Conn]bool), conns: make(map[net.Conn]bool)}
}

// Serve relays until the listener is closed.
func (r *LinkProxy) Serve() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return err
		}
		go r.proxyConn(conn)
	}
}

// SetDelay sets the one-way delay.
func (r *LinkProxy) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetDown closes all connections and refuses new ones, or lets them in again.
func (r *LinkProxy) SetDown(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDown = cut
	if !cut {
		return
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// StallOpenConns makes the connections that are open now pass nothing any more. New
// ones work.
func (r *LinkProxy) StallOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.stalledConns[conn] = true
	}
}

func (r *LinkProxy) proxyConn(conn net.Conn) {
	defer conn.Close()
	if r.isLinkDown() {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	go func() {
		r.copyBytes(conn, out, conn)
		r.closeUnlessStalled(conn, out)
	}()
	r.copyBytes(out, conn, conn)
	r.closeUnlessStalled(conn, conn)
}

func (r *LinkProxy) closeUnlessStalled(key, conn net.Conn) {
	r.mu.Lock()
	silenced := r.stalledConns[key]
	r.mu.Unlock()
	if !silenced {
		_ = conn.Close()
	}
}

const proxyBufferBytes = 32 << 10

func (r *LinkProxy) copyBytes(from, to, key net.Conn) {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		delay, silenced := r.delay, r.stalledConns[key]
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if silenced {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *LinkProxy) isLinkDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDown
}
