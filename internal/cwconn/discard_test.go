package cwconn_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestDiscardKeepsConnection guards against a connection that is closed after each discarded
// body, or that keeps the short time limit for discarding and fails the next call.
func TestDiscardKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "rejected")
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		pool := cwconn.NewPool(n.Host("10.0.0.2"))
		for i := range 3 {
			resp, err := pool.Do(t.Context(), newCall("10.0.0.1:80"))
			is.NoErr(err)
			is.Equal(resp.Reused, i > 0)
			resp.Discard()
			time.Sleep(time.Second)
		}
		pool.CloseIdle("10.0.0.1:80")
	})
}
