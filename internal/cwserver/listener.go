package cwserver

import (
	"net"
	"time"
)

// listener wraps the connections that it accepts in conn.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, server: l.server, openedAt: time.Now()}, nil
}
