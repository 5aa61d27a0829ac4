package cwapp_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// panickingNet is a network whose first connection to a worker panics.
type panickingNet struct {
	cwnet.Net
	hasPanicked *atomic.Bool
}

func (n panickingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if strings.HasPrefix(address, "10.1.1.1:") && !n.hasPanicked.Swap(true) {
		panic("fault in a dial")
	}
	return n.Net.DialContext(ctx, network, address)
}

// TestPanicFreesPlacement guards against an endpoint that counts a request as in progress for
// good because a fault of the program ended its attempt.
func TestPanicFreesPlacement(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		var hasPanicked atomic.Bool
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return panickingNet{Net: n, hasPanicked: &hasPanicked} }
		s.Publish(nil, cwscene.NewRoute("r", "unsafe", nil))
		s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"})
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusInternalServerError)
		status := s.FetchAdmin(t, i, "/status")
		is.True(strings.Contains(status, `"inFlight": 0`))
		is.True(!strings.Contains(status, `"inFlight": 1`))
		is.Equal(s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Body: "order"}).Status, http.StatusOK)
	})
}
