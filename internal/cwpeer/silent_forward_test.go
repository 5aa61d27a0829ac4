package cwpeer_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
)

// TestSilentConnectionsCostOneForward guards against kept connections to an instance that have gone silent
// for good, of which each costs a forwarded request its time.
func TestSilentConnectionsCostOneForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const address = "10.0.0.2:8003"
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.2").Listen(t.Context(), address)
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(10 * time.Millisecond)
			frames := cwframe.NewWriter(w)
			_ = frames.WriteMessage(cwframe.Head, cwpeer.ResponseHead{AttemptID: "a", Status: http.StatusOK})
			_ = frames.Close("")
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		forwarder := cwpeer.NewForwarder(n.Host("10.0.0.1"), cwpeer.NewAuth(""))
		forward := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			resp, err := forwarder.Forward(ctx, address, &cwpeer.ForwardHead{AttemptID: "a"}, bytes.NewReader(nil))
			if err != nil {
				return err
			}
			for err == nil {
				_, err = resp.Stream.Next()
			}
			resp.Close()
			return nil
		}
		is.NoErr(forward())
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { _ = forward() })
		}
		wg.Wait()
		synctest.Wait()
		n.StallOpenConns("10.0.0.1", "10.0.0.2")
		failed := 0
		for range 8 {
			if forward() != nil {
				failed++
			}
		}
		is.Equal(failed, 1) // only the one that finds the silence
	})
}
