package cwapp_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// goneCallerNet accepts connections whose peers seem to have closed them after their requests.
type goneCallerNet struct {
	cwnet.Net
	// closed is a connection that its peer has closed.
	closed *net.UnixConn
	isGone *atomic.Bool
}

func (n goneCallerNet) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Net.Listen(ctx, address)
	return goneCallerListener{Listener: l, net: n}, err
}

type goneCallerListener struct {
	net.Listener
	net goneCallerNet
}

func (l goneCallerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || !l.net.isGone.Load() {
		return c, err
	}
	return goneCallerConn{Conn: c, closed: l.net.closed}, nil
}

type goneCallerConn struct {
	net.Conn
	closed *net.UnixConn
}

func (c goneCallerConn) SyscallConn() (syscall.RawConn, error) { return c.closed.SyscallConn() }

// TestRequestOfCallerThatHasLeftIsNotSent guards against requests that reach endpoints long after their
// callers have left, because they were read late.
func TestRequestOfCallerThatHasLeftIsNotSent(t *testing.T) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = syscall.Close(fds[1])
	file := os.NewFile(uintptr(fds[0]), "closed")
	defer func() { _ = file.Close() }()
	closed, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closed.Close() }()
	for _, kind := range []string{"safe", "unsafe"} {
		t.Run(kind, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				isGone := &atomic.Bool{}
				s.WrapNet = func(n cwnet.Net) cwnet.Net {
					return goneCallerNet{Net: n, closed: closed.(*net.UnixConn), isGone: isGone}
				}
				i, workers := startOneRegion(s, cwscene.NewRoute("r", kind, nil))
				is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"}).Status, http.StatusOK)
				isGone.Store(true)
				for range 10 {
					resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"})
					is.Equal(resp.Status, http.StatusServiceUnavailable)
				}
				is.Equal(len(collectRuns(workers)), 1)
			})
		})
	}
}
