package cwserver_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwserver"
)

// TestPeerThatLeftBeforeItsRequestWasReadIsNoticed guards against work for callers that have left while
// their requests waited for the server.
func TestPeerThatLeftBeforeItsRequestWasReadIsNoticed(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for _, test := range []struct {
		name, sent string
		leaves     bool
		hasLeft    bool
	}{
		{name: "leaves", sent: request, leaves: true, hasLeft: true},
		{name: "leaves after a body", sent: post, leaves: true, hasLeft: true},
		{name: "stays", sent: request},
		{name: "stays after a body", sent: post},
		{name: "sends the next request", sent: post + request},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			common, _ := newCommon(cwnet.NewTCP())
			l, err := common.Net.Listen(t.Context(), "127.0.0.1:0")
			is.NoErr(err)
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = client.Close() }()
			raw, err := l.Accept()
			is.NoErr(err)
			_, err = io.WriteString(client, test.sent)
			is.NoErr(err)
			if test.leaves {
				is.NoErr(client.Close())
			}
			for !cwnet.HasUnreadBytes(raw) {
				continue
			}
			hasLeft := make(chan bool, 2)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, readErr := io.Copy(io.Discard, r.Body)
				is.NoErr(readErr)
				hasLeft <- cwserver.HasPeerLeft(r.Context())
			})
			single := &singleListener{conns: make(chan net.Conn, 1)}
			single.conns <- raw
			s := cwserver.NewServer(common, "caller", serverAddress, handler, cwserver.Limits{})
			go func() { _ = s.Serve(single) }()
			is.Equal(<-hasLeft, test.hasLeft)
			is.NoErr(s.Close())
		})
	}
}
