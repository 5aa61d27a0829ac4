package cwmemnet

import (
	"net"
	"sync"
)

type listener struct {
	network   *Network
	address   string
	accepted  chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address that the listener accepts connections on.
func (l *listener) Addr() net.Addr {
	return memAddr(l.address)
}

type memAddr string

// Network returns the network type, as net.Addr requires.
func (memAddr) Network() string { return "tcp" }

// String returns the address as host:port.
func (a memAddr) String() string { return string(a) }
