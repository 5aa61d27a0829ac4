package cwserver

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// backlogTimeout limits how long connections are accepted that wait as the listener is closed.
const backlogTimeout = 200 * time.Millisecond

// listener wraps the connections that it accepts in conn. It can stop without resetting the
// connections that wait to be accepted.
type listener struct {
	net.Listener
	server *Server
	// stopAt is set by stop: the time, in nanoseconds, at which no more connections are accepted
	// even if some wait.
	stopAt atomic.Int64
	// lateCount is the number of connections that were accepted after stop.
	lateCount atomic.Int64
}

// Accept waits for the next connection. After stop it returns the connections that wait, and
// then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		stopAt := l.stopAt.Load()
		if stopAt > 0 {
			if !cwnet.HasPendingConn(l.Listener) || time.Now().UnixNano() >= stopAt {
				return nil, net.ErrClosed
			}
			// The deadline of stop has passed, and accepting needs one that has not.
			if err := l.setDeadline(time.Unix(0, stopAt)); err != nil {
				return nil, net.ErrClosed
			}
		}
		raw, err := l.Listener.Accept()
		if err == nil {
			if stopAt > 0 {
				l.lateCount.Add(1)
			}
			return &conn{Conn: raw, server: l.server, openedAt: time.Now(), headClaim: l.server.Requests.NewClaim()}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, asAcceptError(err)
		}
	}
}

// stop makes Accept return net.ErrClosed once no connection waits. It closes a listener that
// has no deadlines.
func (l *listener) stop() error {
	l.stopAt.Store(time.Now().Add(backlogTimeout).UnixNano())
	if err := l.setDeadline(time.Unix(1, 0)); err != nil {
		return l.Close()
	}
	return nil
}

func (l *listener) setDeadline(deadline time.Time) error {
	withDeadline, ok := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !ok {
		return errors.ErrUnsupported
	}
	if err := withDeadline.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set the deadline of a listener: %w", err)
	}
	return nil
}
