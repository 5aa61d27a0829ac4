package cwapp_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// panickingNet is a network on which one connection to a worker panics: the first after
// skipped others.
type panickingNet struct {
	cwnet.Net
	skipped *atomic.Int64
}

func (n panickingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if strings.HasPrefix(address, "10.1.1.1:") && n.skipped.Add(-1) == -1 {
		panic("fault in a dial")
	}
	return n.Net.DialContext(ctx, network, address)
}

// TestPanicFreesPlacement guards against an endpoint that counts a request as in progress for
// good because a fault of the program ended its attempt.
func TestPanicFreesPlacement(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		var skipped atomic.Int64
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return panickingNet{Net: n, skipped: &skipped} }
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

// TestPanicInProbeEndsNoRequest guards against a fault in the goroutine that probes an endpoint
// after an interrupted response. It ended the process, and all requests in progress got no response.
func TestPanicInProbeEndsNoRequest(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		var skipped atomic.Int64
		skipped.Store(1)
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return panickingNet{Net: n, skipped: &skipped} }
		s.Publish(nil, cwscene.NewRoute("r", "streaming", nil))
		worker := s.AddWorker("north-a", "10.1.1.1")
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		worker.QueueFaults(cwstandin.FaultTruncateStream)
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		is.True(resp.Err != nil)            // broken off within the stream
		is.Equal(skipped.Load(), int64(-1)) // the probe has panicked
		resp = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: newPromptHeader()})
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusOK)
	})
}

// closePanicNet is a network on which the read of a response panics once its connection is closed.
type closePanicNet struct {
	cwnet.Net
	address string
}

func (n closePanicNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Net.DialContext(ctx, network, address)
	if err != nil || !strings.HasPrefix(address, n.address) {
		return c, err
	}
	return closePanicConn{Conn: c}, nil
}

type closePanicConn struct {
	net.Conn
}

func (c closePanicConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		panic("fault in a read")
	}
	return n, nil
}

// TestPanicFreesReservedPlace guards against an endpoint that counts a request as in progress for
// good: it was reserved for an overdue request, whose attempt then panicked.
func TestPanicFreesReservedPlace(t *testing.T) {
	inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return closePanicNet{Net: n, address: "10.1.1.1:"} }
		s.Publish(nil, cwscene.NewRoute("r", "safe", cwscene.RoutedRoute{"max-attempts": 2}))
		silent := s.AddWorker("north-a", "10.1.1.1")
		silent.SetDefaultFault(cwstandin.FaultHang)
		i := s.AddInstance("10.1.0.1", "north-a")
		s.AwaitReady()
		other := make(chan struct{})
		time.AfterFunc(100*time.Millisecond, func() {
			defer close(other)
			s.AddWorker("north-a", "10.1.1.2")
		})
		resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Method: http.MethodGet, Path: "/r/x"})
		<-other
		is.NoErr(resp.Err)
		is.Equal(resp.Status, http.StatusInternalServerError)
		is.True(resp.Elapsed < 4*time.Second) // the attempt was cancelled in favor of the other endpoint
		status := s.FetchAdmin(t, i, "/status")
		is.True(!strings.Contains(status, `"inFlight": 1`))
	})
}

// TestPanicFreesConnection guards against an endpoint that gets no further requests: a connection
// whose opening or response ended by a fault of the program still counted as open, and the
// service limits them.
func TestPanicFreesConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		wrap  func(n cwnet.Net) cwnet.Net
		fault cwstandin.WorkerFault
	}{
		{"connecting", func(n cwnet.Net) cwnet.Net { return panickingNet{Net: n, skipped: &atomic.Int64{}} }, cwstandin.FaultNone},
		{"reading", func(n cwnet.Net) cwnet.Net { return closePanicNet{Net: n, address: "10.1.1.1:"} }, cwstandin.FaultHang},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.WrapNet = c.wrap
				service := cwstandin.NewPublishedPlainService("app")
				service["max-connections"] = 1
				s.Publish([]map[string]any{service}, cwscene.NewRoute("r", "unsafe", nil))
				worker := s.AddWorker("north-a", "10.1.1.1")
				worker.QueueFaults(c.fault)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: time.Second})
				is.NoErr(resp.Err)
				is.Equal(resp.Status, http.StatusInternalServerError)
				resp = s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x"})
				is.Equal(resp.Status, http.StatusOK)
			})
		})
	}
}
