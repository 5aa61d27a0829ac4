package cwapp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestCopiedRefusalOfReplacedEndpoint guards against an endpoint that has taken the address of another one.
// It refuses a request for that one, and sends the refusal once more when the request comes again under
// its own identifier, on the same connection: the caller was told that the request had not run.
func TestCopiedRefusalOfReplacedEndpoint(t *testing.T) {
	for _, kind := range []string{"unsafe", "streaming"} {
		for _, others := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, %d other endpoints", kind, others), func(t *testing.T) {
				inRoutedScene(t, func(t *testing.T, is *is.I, s *cwscene.RoutedScene) {
					services, header := []map[string]any(nil), []string(nil)
					if kind == "streaming" {
						services, header = cwscene.NewEngineService(0), newPromptHeader()
					}
					s.Publish(services, cwscene.NewRoute("r", kind, nil))
					l, err := s.Net.Host("10.1.1.1").Listen(context.Background(), "10.1.1.1:8010")
					is.NoErr(err)
					defer func() { _ = l.Close() }()
					server := &replacingServer{id: "successor", isStream: kind == "streaming", runs: make(map[string]int)}
					other := cwstandin.NewWorker("other")
					server.onMismatch = func() {
						s.Store.Remove(cwstandin.WorkerKeyPrefix + "predecessor")
						s.RegisterWorker(server.id, "north-a", "10.1.1.1", nil)
						if others > 0 {
							s.Serve("10.1.1.2:8010", other)
							s.RegisterWorker(other.ID, "north-a", "10.1.1.2", nil)
						}
						time.Sleep(2 * time.Second) // until the instance has read the entries
					}
					go server.accept(l)
					s.RegisterWorker("predecessor", "north-a", "10.1.1.1", nil)
					i := s.AddInstance("10.1.0.1", "north-a")
					s.AwaitReady()
					for range 10 {
						resp := s.Do(t.Context(), i, cwscene.RoutedRequest{Path: "/r/x", Header: header})
						runs := server.runsOf(resp.RequestID)
						for _, run := range other.Runs() {
							if run.RequestID == resp.RequestID {
								runs++
							}
						}
						is.True(runs <= 1)
						is.Equal(resp.Status == http.StatusOK, runs == 1) // a refused request has not run
					}
				})
			})
		}
	}
}

// replacingServer is an endpoint that refuses requests for another one, and copies the refusal if the
// request comes again on the connection.
type replacingServer struct {
	id       string
	isStream bool
	// onMismatch is called before the first refusal.
	onMismatch func()

	mu   sync.Mutex
	runs map[string]int
}

func (s *replacingServer) runsOf(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

func (s *replacingServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *replacingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusals := make(map[string]string)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(cwstandin.RequestIDHeader)
		if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != s.id {
			if !strings.HasPrefix(expected, "not-") {
				s.callOnMismatch()
			}
			refusals[id] = "HTTP/1.1 421 Misdirected Request\r\n" + cwstandin.RequestIDHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, refusals[id])
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		contentType, body := "text/plain", "answer"
		if s.isStream {
			contentType, body = "text/event-stream", "id: 1\ndata: x\n\n"
		}
		_, _ = io.WriteString(conn, refusals[id])
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\nClementinewell-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s",
			contentType, cwstandin.RequestIDHeader, id, len(body), body)
	}
}

// callOnMismatch calls onMismatch once.
func (s *replacingServer) callOnMismatch() {
	s.mu.Lock()
	call := s.onMismatch
	s.onMismatch = nil
	s.mu.Unlock()
	if call != nil {
		call()
	}
}
