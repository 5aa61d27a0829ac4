package cwpeer_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// TestRelayedStatusOfNoResponseIsNotReturned guards against the status of a faulty endpoint that an
// instance of an older build passes on: writing it to the caller panics.
func TestRelayedStatusOfNoResponseIsNotReturned(t *testing.T) {
	for _, sc := range []struct {
		status   int
		isFailed bool
	}{{http.StatusOK, false}, {http.StatusServiceUnavailable, false}, {0, true}, {101, true}, {600, true}, {999, true}} {
		t.Run(fmt.Sprint(sc.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const address = "10.0.0.2:8003"
				n := cwmemnet.NewNetwork()
				defer n.Close()
				l, err := n.Host("10.0.0.2").Listen(t.Context(), address)
				is.NoErr(err)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					frames := cwframe.NewWriter(w)
					_ = frames.WriteMessage(cwframe.Head, cwpeer.ResponseHead{AttemptID: "a", Status: sc.status})
					_ = frames.Close(string(cwanswer.Ran))
				})}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				forwarder := cwpeer.NewForwarder(n.Host("10.0.0.1"), cwpeer.NewAuth(""))
				resp, err := forwarder.Forward(context.Background(), address, &cwpeer.ForwardHead{AttemptID: "a"}, bytes.NewReader(nil))
				is.Equal(err != nil, sc.isFailed)
				if err == nil {
					is.Equal(resp.Head.Status, sc.status)
					resp.Close()
				}
			})
		})
	}
}
