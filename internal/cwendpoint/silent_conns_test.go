package cwendpoint_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// TestSilentConnectionsCostOnePoll guards against load polls that count an endpoint as failed, one after
// the other, because each takes another kept connection that has gone silent for good.
func TestSilentConnectionsCostOnePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const address = "10.0.0.1:80"
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(t.Context(), address)
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Millisecond)
			http.NotFound(w, r) // a service without load reports
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		client := cwendpoint.NewClient(n.Host("10.0.0.2"))
		defer client.CloseIdle()
		poll := func() error {
			_, err := client.FetchLoad(t.Context(), address)
			return err
		}
		var wg sync.WaitGroup
		for range 8 { // requests that leave as many connections
			wg.Go(func() { _ = poll() })
		}
		wg.Wait()
		n.StallOpenConns("10.0.0.1", "10.0.0.2")
		is.True(poll() != nil) // on a silent connection
		is.NoErr(poll())       // on a new one
	})
}
