package cwsoak_test

import (
	"io"
	"net"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is how a proxy treats its connections.
type proxyMode int32

const (
	modePass proxyMode = iota
	// modeDelay delays each chunk of data by proxyDelay.
	modeDelay
	modeDropAll
	// modeDropResponses drops only what the server sends.
	modeDropResponses
	// modeReset resets open connections and closes new ones.
	modeReset
)

// proxyDelay is the delay of each chunk of data in modeDelay.
const proxyDelay = 80 * time.Millisecond

// proxy is a TCP proxy on loopback that injects network faults into the connections
// to a server.
type proxy struct {
	t             *testing.T
	listener      *net.TCPListener
	listenAddress string
	serverAddress string
	mode          atomic.Int32
	mu            sync.Mutex
	// conns are the open connections of clients with the ID of the latest request on each.
	conns map[net.Conn]string
	// disturbedIDs are the requests on whose connection a fault broke the data. mu guards
	// it and conns.
	disturbedIDs map[string]bool
	// silenceEnd is closed when the silence ends, nil without one. mu guards it.
	silenceEnd chan struct{}
	// hasEnded is set while no connection is accepted. mu guards it and listener.
	hasEnded bool
	// ends are the times at which the server ended. mu guards it too.
	ends []time.Time
}

// requestIDPattern matches the request ID in the header of a request.
var requestIDPattern = regexp.MustCompile(`(?i)` + headerRequestID + `: (\w+)`)

func newProxy(t *testing.T, listenAddress, serverAddress string) *proxy {
	p := &proxy{t: t, listenAddress: listenAddress, serverAddress: serverAddress, conns: make(map[net.Conn]string), disturbedIDs: make(map[string]bool)}
	p.listen()
	t.Cleanup(func() { p.end() })
	return p
}

// listen starts to accept connections.
func (p *proxy) listen() {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		p.t.Errorf("proxy does not listen: %v", err)
		return
	}
	p.mu.Lock()
	p.listener, p.hasEnded = l.(*net.TCPListener), false
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.awaitSilenceEnd()
			go p.serve(c)
		}
	}()
}

// end closes the listener and all connections, as the end of the server's process does. It
// returns false if it has been called since the last listen.
func (p *proxy) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEnded {
		return false
	}
	p.hasEnded = true
	p.ends = append(p.ends, time.Now())
	_ = p.listener.Close()
	for c, id := range p.conns {
		p.disturbedIDs[id] = true
		_ = c.Close()
	}
	return true
}

// hadEnd reports whether the server ended between two times.
func (p *proxy) hadEnd(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.ends, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// setMode sets the mode. With modeReset it also resets the open connections of clients.
func (p *proxy) setMode(mode proxyMode) {
	p.mode.Store(int32(mode))
	if mode != modeReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, id := range p.conns {
		p.disturbedIDs[id] = true
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
	p.conns[client] = ""
	hasEnded := p.hasEnded
	p.mu.Unlock()
	if hasEnded {
		_ = client.Close()
	}
	go p.copyBytes(server, client, client)
	p.copyBytes(client, server, client)
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// hasDisturbed reports whether a fault broke the data on the connection of a request.
func (p *proxy) hasDisturbed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedIDs[id]
}

// observe records the request that data of a client begins, and whether data was dropped.
func (p *proxy) observe(client, from net.Conn, data []byte, isDropped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := requestIDPattern.FindSubmatch(data); m != nil && from == client {
		p.conns[client] = string(m[1])
	}
	if isDropped {
		p.disturbedIDs[p.conns[client]] = true
	}
}

// copyBytes forwards data in one direction according to the mode. Once it has dropped
// data, it drops all further data in this direction, so that the connection stays
// silent.
func (p *proxy) copyBytes(to, from, client net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 16<<10)
	hasDropped, isResponse := false, to == client
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		hasDropped = hasDropped || n > 0 && (mode == modeDropAll || mode == modeDropResponses && isResponse)
		p.observe(client, from, buf[:n], hasDropped)
		if mode == modeDelay {
			<-time.After(proxyDelay)
		}
		p.awaitSilenceEnd()
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
