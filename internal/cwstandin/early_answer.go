package cwstandin

import (
	"fmt"
	"io"
	"net"
	"time"
)

// EarlyAnswer answers each connection of a listener at once, while the request may still be on its way.
type EarlyAnswer struct {
	// Head is the status line and the fields, without the empty line, and Body what follows it.
	Head, Body string
	// End is how the connection ends, after Delay.
	End   ConnEnd
	Delay time.Duration
}

// ConnEnd is how a connection ends behind an answer.
type ConnEnd int

// Ends of a connection.
const (
	// EndAfterRequest reads the request to its end, and whatever follows.
	EndAfterRequest ConnEnd = iota
	// EndByReset resets the connection.
	EndByReset
	// EndUnread closes the connection while received bytes are unread, which resets it too.
	EndUnread
)

// Serve answers the connections until the listener is closed.
func (a EarlyAnswer) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go a.answer(conn)
	}
}

func (a EarlyAnswer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1024)); err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "%s\r\n%s", a.Head, a.Body)
	if a.End == EndAfterRequest {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	time.Sleep(a.Delay)
	if l, ok := conn.(interface{ SetLinger(sec int) error }); ok && a.End == EndByReset {
		_ = l.SetLinger(0)
	}
}
