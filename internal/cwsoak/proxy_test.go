package cwsoak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is what a proxy does with the connections through it.
type proxyMode int32

const (
	modePass proxyMode = iota
	modeDelay
	modeDropAll
	modeDropResponses
	modeReset
)

// proxyDelay is added to each piece while a proxy delays.
const proxyDelay = 80 * time.Millisecond

// proxy stands before a server on loopback and spoils its connections.
type proxy struct {
	serverAddress string
	mode          atomic.Int32
	mu            sync.Mutex
	conns         map[net.Conn]bool
}

func newProxy(t *testing.T, address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{serverAddress: target, conns: make(map[net.Conn]bool)}
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

// setMode changes what happens; a reset hits the connections that are open.
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

// copyBytes passes bytes on, unless the mode says otherwise. What a silent connection lost
// stays lost, so that it is silent for good.
func (p *proxy) copyBytes(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		lost = lost || n > 0 && (mode == modeDropAll || mode == modeDropResponses && answers)
		if mode == modeDelay {
			<-time.After(proxyDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if lost && err == io.EOF {
				continue
			}
			return
		}
	}
}
