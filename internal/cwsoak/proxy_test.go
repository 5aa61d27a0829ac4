package cwsoak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is how a proxy treats its connections.
type proxyMode int32

const (
	modePass proxyMode = iota
	modeDelay
	modeDropAll
	modeDropResponses
	modeReset
)

// proxyDelay is the delay of each chunk of data in modeDelay.
const proxyDelay = 80 * time.Millisecond

// proxy is a TCP proxy on loopback that injects network faults into the connections
// to a server.
type proxy struct {
	serverAddress string
	mode          atomic.Int32
	mu            sync.Mutex
	conns         map[net.Conn]bool
}

func newProxy(t *testing.T, listenAddress, upstream string) *proxy {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{serverAddress: upstream, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setMode sets the mode. modeReset also resets the open connections of clients; new
// connections are closed.
func (p *proxy) setMode(mode proxyMode) {
	p.mode.Store(int32(mode))
	if mode != modeReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil || proxyMode(p.mode.Load()) == modeReset {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client] = true
	p.mu.Unlock()
	go p.copyBytes(server, client, false)
	p.copyBytes(client, server, true)
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// copyBytes forwards data as the mode demands. Once it has dropped data, it drops all
// further data in this direction, so that the connection stays silent.
func (p *proxy) copyBytes(to, from net.Conn, isResponse bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 16<<10)
	hasDropped := false
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		hasDropped = hasDropped || n > 0 && (mode == modeDropAll || mode == modeDropResponses && isResponse)
		if mode == modeDelay {
			<-time.After(proxyDelay)
		}
		if n > 0 && !hasDropped {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if hasDropped && err == io.EOF {
				continue
			}
			return
		}
	}
}
