package cwplatform_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
)

// TestSilentPlatformConnectionsCostOneTimeout guards against reads of the platform that wait for a timeout
// on each kept connection that has gone silent for good.
func TestSilentPlatformConnectionsCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const address = "10.0.0.1:80"
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(t.Context(), address)
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(10 * time.Millisecond)
			w.Header().Set(cwplatform.RevisionHeader, "1")
		})}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		reader := cwplatform.NewReader("http://"+address, n.Host("10.0.0.2"), cwlimit.NewBudget(0))
		read := func() error {
			_, err := reader.Read(t.Context(), "key")
			return err
		}
		var wg sync.WaitGroup
		for range 4 { // watches and probes of several values
			wg.Go(func() { _ = read() })
		}
		wg.Wait()
		n.StallOpenConns("10.0.0.1", "10.0.0.2")
		is.True(read() != nil) // on a silent connection
		is.NoErr(read())       // on a new one
	})
}
