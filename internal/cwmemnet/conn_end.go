package cwmemnet

import "net"

// connEnd is one end of a connection, with the addresses of its hosts. Their ports are 0.
type connEnd struct {
	net.Conn
	local, remote net.Addr
}

func newConnEnd(pipe net.Conn, local, remote string) *connEnd {
	return &connEnd{Conn: pipe, local: &net.TCPAddr{IP: net.ParseIP(local)}, remote: &net.TCPAddr{IP: net.ParseIP(remote)}}
}

// LocalAddr returns the address of this end.
func (e *connEnd) LocalAddr() net.Addr { return e.local }

// RemoteAddr returns the address of the other end.
func (e *connEnd) RemoteAddr() net.Addr { return e.remote }
