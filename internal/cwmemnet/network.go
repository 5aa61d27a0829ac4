// Package cwmemnet is a network in memory for tests: hosts with addresses, and
// links between them that can be delayed, cut or silenced.
package cwmemnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

var errUnreachable = errors.New("host is unreachable")

// Network connects hosts.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	links       map[linkKey]*linkState
	conns       map[*conn]bool
	killedHosts map[string]bool
}

type linkKey struct {
	from, to string
}

// linkState is one direction between two hosts.
type linkState struct {
	delay         time.Duration
	isPartitioned bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		links:       make(map[linkKey]*linkState),
		conns:       make(map[*conn]bool),
		killedHosts: make(map[string]bool),
	}
}

// Host returns the network as the host with the IP number sees it.
func (n *Network) Host(ip string) *Host {
	return &Host{network: n, ip: ip}
}

func (n *Network) findOrAddLink(from, to string) *linkState {
	key := linkKey{from: from, to: to}
	if n.links[key] == nil {
		n.links[key] = &linkState{}
	}
	return n.links[key]
}

// SetDelay sets the one-way delay between two hosts, both ways.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.findOrAddLink(a, b).delay = delay
	n.findOrAddLink(b, a).delay = delay
}

// SetPartitioned loses everything between two hosts, both ways, or lets it through. What
// was lost while the link was cut is lost for good: its connections stay silent.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.findOrAddLink(a, b).isPartitioned = cut
	n.findOrAddLink(b, a).isPartitioned = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if c.isBetween(a, b) {
			c.isStalled = true
		}
	}
}

// StallOpenConns makes the open connections between two hosts lose everything, for
// good, while new connections work.
func (n *Network) StallOpenConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.isBetween(a, b) {
			c.isStalled = true
		}
	}
}

// KillHost ends a host: its connections break, its listeners refuse, and it reaches
// nobody any more.
func (n *Network) KillHost(ip string) {
	n.mu.Lock()
	n.killedHosts[ip] = true
	var broken []*conn
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			broken = append(broken, c)
		}
	}
	var ended []*listener
	for address, l := range n.listeners {
		if host, _, _ := net.SplitHostPort(address); host == ip {
			ended = append(ended, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ended {
		_ = l.Close()
	}
	for _, c := range broken {
		c.closeEnds()
	}
}

// RestoreHost lets a host that was killed listen and connect again.
func (n *Network) RestoreHost(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killedHosts[ip] = false
}

// Close breaks every connection and listener.
func (n *Network) Close() {
	n.mu.Lock()
	conns, listeners := n.conns, n.listeners
	n.conns, n.listeners = make(map[*conn]bool), make(map[string]*listener)
	n.mu.Unlock()
	for c := range conns {
		c.closeEnds()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
}

// Host opens listeners and connections with one IP number.
type Host struct {
	network *Network
	ip      string
}

// Listen returns a listener; the address must be one of the host.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %s: address is in use", address)
	}
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// dialTimeout is how long a connection attempt over a cut link takes to fail.
const dialTimeout = 2 * time.Second

// DialContext connects to a listener. Over a cut link it fails after a while, on
// a missing listener at once.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	state := *n.findOrAddLink(h.ip, ip)
	l := n.listeners[address]
	dead := n.killedHosts[h.ip]
	n.mu.Unlock()
	if dead {
		return nil, fmt.Errorf("dial %s: %w", address, errUnreachable)
	}
	if state.isPartitioned {
		return nil, returnAfter(ctx, dialTimeout, fmt.Errorf("dial %s: %w", address, errUnreachable))
	}
	// A handshake takes one round trip.
	if err := returnAfter(ctx, 2*state.delay, nil); err != nil {
		return nil, err
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	return n.connect(ctx, h.ip, ip, l)
}

func returnAfter(ctx context.Context, d time.Duration, err error) error {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (n *Network) connect(ctx context.Context, from, to string, l *listener) (net.Conn, error) {
	c := newConn(n, from, to)
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	select {
	case l.accepted <- c.serverEnd:
		return c.clientEnd, nil
	case <-l.done:
		c.closeEnds()
		return nil, fmt.Errorf("dial %s: connection refused", l.address)
	case <-ctx.Done():
		c.closeEnds()
		return nil, ctx.Err()
	}
}
