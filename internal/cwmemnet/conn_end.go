package cwmemnet

import (
	"net"
	"sync/atomic"
)

// connEnd is one end of a connection, with the addresses of its hosts. Their ports are 0.
type connEnd struct {
	net.Conn
	local, remote net.Addr
	// hasPeerClosed is set once the close of the other end has arrived.
	hasPeerClosed atomic.Bool
}

func newConnEnd(pipe net.Conn, local, remote string) *connEnd {
	return &connEnd{Conn: pipe, local: &net.TCPAddr{IP: net.ParseIP(local)}, remote: &net.TCPAddr{IP: net.ParseIP(remote)}}
}

// IsEstablished reports whether the close of the other end has not arrived.
func (e *connEnd) IsEstablished() bool { return !e.hasPeerClosed.Load() }

// LocalAddr returns the address of this end.
func (e *connEnd) LocalAddr() net.Addr { return e.local }

// RemoteAddr returns the address of the other end.
func (e *connEnd) RemoteAddr() net.Addr { return e.remote }
