package cwserver_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// failingListener returns an error for each connection before it accepts it.
type failingListener struct {
	net.Listener
	err error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.err; err != nil {
		l.err = nil
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesAcceptErrors guards against an instance that shuts down because the operating
// system could not accept one connection.
func TestServerOutlivesAcceptErrors(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := cwmemnet.NewNetwork()
				defer network.Close()
				common, _ := newCommon(network.Host(serverIP))
				s := cwserver.NewServer(common, "caller", serverAddress, http.HandlerFunc(respondOK), cwserver.Limits{})
				l, listenErr := common.Net.Listen(t.Context(), serverAddress)
				is.NoErr(listenErr)
				served := make(chan error, 1)
				go func() { served <- s.Serve(&failingListener{Listener: l, err: err}) }()
				synctest.Wait()
				c, dialErr := network.Host("10.9.0.1").DialContext(t.Context(), "tcp", serverAddress)
				is.NoErr(dialErr)
				_, writeErr := io.WriteString(c, request)
				is.NoErr(writeErr)
				status := make([]byte, 12)
				_, readErr := io.ReadFull(c, status)
				is.NoErr(readErr)
				is.Equal(string(status), "HTTP/1.1 200")
				is.NoErr(c.Close())
				is.NoErr(s.Close())
				is.NoErr(<-served)
			})
		})
	}
}
