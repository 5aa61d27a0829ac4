// Package cwmemnet implements an in-memory network for tests: hosts with addresses,
// and links between them that can be delayed, partitioned or stalled.
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

// Network is an in-memory network of hosts.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	links       map[linkKey]*linkState
	conns       map[*conn]bool
	killedHosts map[string]bool
	silentHosts map[string]*silence
}

type linkKey struct {
	from, to string
}

// linkState is the state of one direction between two hosts.
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
		silentHosts: make(map[string]*silence),
	}
}

// Host returns the network interface of the host with the IP address.
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

// SetDelay sets the one-way delay between two hosts, in both directions.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.findOrAddLink(a, b).delay = delay
	n.findOrAddLink(b, a).delay = delay
}

// SetPartitioned drops all traffic between two hosts, in both directions, or restores
// the link. Connections that are open at the start of a partition stay stalled after
// it: dropped data is never sent again.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.findOrAddLink(a, b).isPartitioned = partitioned
	n.findOrAddLink(b, a).isPartitioned = partitioned
	if !partitioned {
		return
	}
	for c := range n.conns {
		if c.isBetween(a, b) {
			c.isStalled = true
		}
	}
}

// StallOpenConns makes the open connections between two hosts drop all data from now
// on. New connections work.
func (n *Network) StallOpenConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.isBetween(a, b) {
			c.isStalled = true
		}
	}
}

// ResetConns closes all open connections of a host, whose listeners go on.
func (n *Network) ResetConns(ip string) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		c.closeEnds()
	}
}

// KillHost stops a host: its ends of connections and its listeners are closed, dials to it are
// refused, and its own dials fail. The other ends read what was sent before, and then the end.
func (n *Network) KillHost(ip string) {
	n.mu.Lock()
	n.killedHosts[ip] = true
	var closing []*conn
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			closing = append(closing, c)
		}
	}
	var closingListeners []*listener
	for address, l := range n.listeners {
		if host, _, _ := net.SplitHostPort(address); host == ip {
			closingListeners = append(closingListeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closingListeners {
		_ = l.Close()
	}
	for _, c := range closing {
		c.closeEndsOf(ip)
	}
}

// RestoreHost allows a killed host to dial again. Its listeners stay closed and must
// be opened anew.
func (n *Network) RestoreHost(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killedHosts[ip] = false
}

// Close closes every connection and listener.
func (n *Network) Close() {
	n.mu.Lock()
	for ip, s := range n.silentHosts {
		close(s.ended)
		delete(n.silentHosts, ip)
	}
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

// Host opens listeners and connections with one IP address.
type Host struct {
	network *Network
	ip      string
}

// Listen returns a listener on an address, which must be one of the host.
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

// dialTimeout is the time after which a dial over a partitioned link fails.
const dialTimeout = 2 * time.Second

// DialContext connects to a listener. On a killed host it fails immediately, and over a
// partitioned link after dialTimeout. To a silent host it takes until a repeated handshake after the
// silence. Without a listener at the address it fails as soon as the handshake would have ended.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	link := *n.findOrAddLink(h.ip, ip)
	l := n.listeners[address]
	killed := n.killedHosts[h.ip]
	n.mu.Unlock()
	if killed {
		return nil, fmt.Errorf("dial %s: %w", address, errUnreachable)
	}
	if link.isPartitioned {
		return nil, returnAfter(ctx, dialTimeout, fmt.Errorf("dial %s: %w", address, errUnreachable))
	}
	if err := n.awaitHandshake(ctx, h.ip, ip); err != nil {
		return nil, err
	}
	// A handshake takes one round trip.
	if err := returnAfter(ctx, 2*link.delay, nil); err != nil {
		return nil, err
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	return n.connect(ctx, h.ip, ip, l)
}

// returnAfter waits for a delay and then returns err, or the context's error if the
// context ends first.
func returnAfter(ctx context.Context, delay time.Duration, err error) error {
	if delay > 0 {
		select {
		case <-time.After(delay):
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

// CloseStalledConns closes the connections that drop all data, as keep-alive does.
func (n *Network) CloseStalledConns() {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if c.isStalled {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		c.closeEnds()
	}
}
