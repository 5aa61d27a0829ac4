package cwapp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// stuckNet is a network on which callers, who connect to the port, read nothing of the responses
// to them.
type stuckNet struct {
	cwnet.Net
	port string
}

func (n stuckNet) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Net.Listen(ctx, address)
	if err != nil || !strings.HasSuffix(address, n.port) {
		return l, err
	}
	return stuckListener{Listener: l}, nil
}

type stuckListener struct {
	net.Listener
}

func (l stuckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	unread, _ := net.Pipe()
	return stuckConn{Conn: c, unread: unread}, nil
}

// stuckConn reads from the connection and writes to a pipe that nobody reads.
type stuckConn struct {
	net.Conn
	unread net.Conn
}

func (c stuckConn) Write(p []byte) (int, error) { return c.unread.Write(p) }

func (c stuckConn) SetWriteDeadline(deadline time.Time) error {
	return c.unread.SetWriteDeadline(deadline)
}

func (c stuckConn) Close() error {
	_ = c.unread.Close()
	return c.Conn.Close()
}

// TestCallerThatReadsNothingEndsItsRequest guards against a caller that keeps its connection and
// reads nothing: its request stayed in progress, at its endpoint and in the memory for responses,
// for as long as the connection was open. What is kept for it must count until then.
func TestCallerThatReadsNothingEndsItsRequest(t *testing.T) {
	const timeout = 3 * time.Second
	for _, c := range []struct {
		name, kind string
		// heldBytes is what the budget must count while the caller does not read.
		heldBytes int64
		response  http.Handler
	}{
		{"stream", "streaming", 0, cwstandin.StreamResponse("events", "", "id: 1\ndata: a\n\n")},
		{"stream with a large event", "streaming", 1 << 20, cwstandin.StreamResponse("event", "id: 1\ndata: "+strings.Repeat("a", 1<<20)+"\n\n", "data: ")},
		{"response in memory", "safe", 1 << 20, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(cwstandin.RequestIDHeader, r.Header.Get(cwstandin.RequestIDHeader))
			w.Header().Set("Clementinewell-Response-Signature", "signed")
			_, _ = io.WriteString(w, strings.Repeat("a", 1<<20))
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
				s.WrapNet = func(n cwnet.Net) cwnet.Net { return stuckNet{Net: n, port: ":8001"} }
				s.Publish(nil, cwscene.NewRoute("r", c.kind, nil))
				s.Serve("10.1.1.1:8010", c.response)
				s.RegisterWorker("worker-10.1.1.1", "north-a", "10.1.1.1", nil)
				i := s.AddInstance("10.1.0.1", "north-a")
				s.AwaitReady()
				go s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Timeout: timeout})
				time.Sleep(timeout / 2)
				is.True(strings.Contains(s.FetchAdmin(t, i, "/status"), `"inFlight": 1`))
				is.True(i.Budget.UsedBytes() >= c.heldBytes)
				time.Sleep(timeout/2 + 5*time.Second)
				synctest.Wait()
				is.True(!strings.Contains(s.FetchAdmin(t, i, "/status"), `"inFlight": 1`))
				is.Equal(i.Budget.UsedBytes(), int64(0))
			})
		})
	}
}

// TestDispatchToCallerThatReadsNothingEnds guards against the same at the product's own interface:
// the request stayed in progress, and a shutdown waited for it until the drain timeout.
func TestDispatchToCallerThatReadsNothingEnds(t *testing.T) {
	lookup := cwscene.NewLookupService("north")
	inScene(t, services(lookup), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return stuckNet{Net: n, port: ":7080"} }
		plain := cwstandin.NewPlainService("plain", 0).Handler()
		s.AddEndpoint("north-a", "10.1.0.5", "lookup", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			plain.ServeHTTP(w, r)
			if r.URL.Path == "/x" {
				_, _ = io.WriteString(w, strings.Repeat(" ", 1<<20))
			}
		}))
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		go sendLookup(t, s, i)
		time.Sleep(lookup.Targets.Deadline() + 5*time.Second)
		start := time.Now()
		i.Stop()
		<-i.Done()
		is.True(time.Since(start) < 5*time.Second)
	})
}
