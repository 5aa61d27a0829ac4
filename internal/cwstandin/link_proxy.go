package cwstandin

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkProxy stands in for one network link, which can be delayed, taken down or
// stalled. A stalled connection stays open and never forwards data again.
type LinkProxy struct {
	target   string
	listener net.Listener

	mu           sync.Mutex
	delay        time.Duration
	isDown       bool
	stalledConns map[net.Conn]bool
	conns        map[net.Conn]bool
}

// NewLinkProxy returns a proxy from the listener to the target address.
func NewLinkProxy(l net.Listener, target string) *LinkProxy {
	return &LinkProxy{target: target, listener: l, stalledConns: make(map[net.Conn]bool), conns: make(map[net.Conn]bool)}
}

// Serve proxies connections until the listener is closed.
func (p *LinkProxy) Serve() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return err
		}
		go p.proxyConn(conn)
	}
}

// SetDelay sets the one-way delay.
func (p *LinkProxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetDown takes the link down or up. Taking it down closes all connections. While it is
// down, new connections are closed immediately.
func (p *LinkProxy) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = down
	if !down {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// StallOpenConns makes the connections that are open now stop forwarding data. New
// connections work.
func (p *LinkProxy) StallOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.stalledConns[conn] = true
	}
}

func (p *LinkProxy) proxyConn(conn net.Conn) {
	defer conn.Close()
	if p.isLinkDown() {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	go func() {
		p.copyBytes(conn, upstream, conn)
		p.closeUnlessStalled(conn, upstream)
	}()
	p.copyBytes(upstream, conn, conn)
	p.closeUnlessStalled(conn, conn)
}

// closeUnlessStalled closes one side of a proxied connection, unless the connection is
// stalled. accepted is the connection's key in stalledConns.
func (p *LinkProxy) closeUnlessStalled(accepted, conn net.Conn) {
	p.mu.Lock()
	stalled := p.stalledConns[accepted]
	p.mu.Unlock()
	if !stalled {
		_ = conn.Close()
	}
}

const proxyBufferBytes = 32 << 10

// copyBytes forwards data in one direction of a proxied connection. accepted is the
// connection's key in stalledConns.
func (p *LinkProxy) copyBytes(from, to, accepted net.Conn) {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay, stalled := p.delay, p.stalledConns[accepted]
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if stalled {
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

func (p *LinkProxy) isLinkDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDown
}
