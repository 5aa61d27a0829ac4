package cwapp_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// newEngine returns an engine that sends a token every 20 ms.
func newEngine() *cwstandin.Engine {
	return cwstandin.NewEngine("engine", cwstandin.EngineOptions{
		Model: "chat-model", Slots: 8, PromptTokensPerSecond: 4000, TokenInterval: 20 * time.Millisecond, Tokens: 10,
	})
}

func sendChat(t *testing.T, s *cwscene.Scene, i *cwscene.Instance, tokens int) cwscene.Response {
	return s.NewCaller().Do(t.Context(), i, cwscene.Request{
		Method: "POST", Path: "/services/chat/v1/chat/completions", Body: fmt.Sprintf(chatBodyFormat, tokens),
	})
}

// checkTokens checks that a stream contains every token once and the end marker.
func checkTokens(is *is.I, resp cwscene.Response, tokens int) {
	is.NoErr(resp.Err)
	is.Equal(resp.Status, 200)
	for n := range tokens {
		is.Equal(strings.Count(resp.Body, fmt.Sprintf(`"t%d "`, n)), 1)
	}
	is.True(strings.HasSuffix(resp.Body, "data: [DONE]\n\n"))
}

// TestStreamArrivesComplete checks that every event of a stream arrives once, from an endpoint
// in the same or in another region.
func TestStreamArrivesComplete(t *testing.T) {
	for _, domain := range []string{"north-a", "south-a"} {
		t.Run(domain, func(t *testing.T) {
			inScene(t, services(cwscene.NewChatService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				s.AddEndpoint(domain, "10.1.0.5", "chat-model", newEngine().Handler())
				s.Publish()
				north := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AddInstance("10.2.0.1", "south", "south-a")
				s.Net.SetDelay("10.1.0.1", "10.2.0.1", 80*time.Millisecond)
				s.AwaitReady()
				s.Await(func() bool {
					return domain == "north-a" || len(north.Control.Snapshot().Capacities["chat-model"]) > 0
				})
				checkTokens(is, sendChat(t, s, north, 50), 50)
			})
		})
	}
}

// TestStalledStreamIsResumed stalls the connection to the engine within a stream. The stream
// must be resumed on another connection, without lost or repeated events.
func TestStalledStreamIsResumed(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", newEngine().Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		done := make(chan cwscene.Response)
		start := time.Now()
		go func() { done <- sendChat(t, s, i, 100) }() // streams for two seconds
		time.Sleep(time.Second)
		s.Net.StallOpenConns("10.1.0.1", "10.1.0.5")
		checkTokens(is, <-done, 100)
		is.True(time.Since(start) < 6*time.Second) // detected by a probe, well before the deadline of 60 s
	})
}

// newTruncatingEngine returns an engine that ends every stream without an end marker and
// cannot resume streams.
func newTruncatingEngine() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /load", newEngine().Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: {\"choices\":[]}\n\n"))
	})
	return mux
}

// TestTruncatedStreamFailsAtCaller checks that a stream that the engine ends without an end
// marker does not look complete to the caller.
func TestTruncatedStreamFailsAtCaller(t *testing.T) {
	for _, domain := range []string{"north-a", "south-a"} {
		t.Run(domain, func(t *testing.T) {
			inScene(t, services(cwscene.NewChatService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
				s.AddEndpoint(domain, "10.1.0.5", "chat-model", newTruncatingEngine())
				s.Publish()
				north := s.AddInstance("10.1.0.1", "north", "north-a")
				s.AddInstance("10.2.0.1", "south", "south-a")
				s.AwaitReady()
				s.Await(func() bool {
					return domain == "north-a" || len(north.Control.Snapshot().Capacities["chat-model"]) > 0
				})
				resp := sendChat(t, s, north, 5)
				is.Equal(resp.Status, 200)
				is.True(resp.Err != nil) // the connection was aborted, not closed normally
			})
		})
	}
}

// TestCancellationReachesEngine checks that the engine stops generating when the deadline of a
// request expires within its stream.
func TestCancellationReachesEngine(t *testing.T) {
	inScene(t, services(cwscene.NewChatService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		engine := newEngine()
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", engine.Handler())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		done := make(chan cwscene.Response)
		go func() {
			done <- s.NewCaller().Do(t.Context(), i, cwscene.Request{
				Method: "POST", Path: "/services/chat/v1/chat/completions", Body: fmt.Sprintf(chatBodyFormat, 10000),
				Header: []string{"Request-Timeout", "2s"},
			})
		}()
		is.True((<-done).Err != nil)
		s.Await(func() bool { return engine.CancelledStreams() == 1 && engine.RunningRequests() == 0 })
	})
}

// TestResponsesAreNotMixedUp checks that concurrent requests each get the response to their
// own body, also while connections stall and requests are retried.
func TestResponsesAreNotMixedUp(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north", "south")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		regions := newRegionPair(t, s, "lookup")
		var wg sync.WaitGroup
		for n := range 60 {
			wg.Go(func() {
				ctx := t.Context()
				body := fmt.Sprintf("question-%d-%s", n, strings.Repeat("x", n*50))
				resp := s.NewCaller().Do(ctx, regions.north, cwscene.Request{Method: "POST", Path: "/services/lookup/e", Body: body})
				is.Equal(resp.Status, 200)
				is.True(strings.Contains(resp.Body, body))
			})
			if n%20 == 10 {
				// Data in transit on the open connections is lost.
				s.Net.StallOpenConns("10.1.0.1", "10.1.0.5")
			}
		}
		wg.Wait()
	})
}

// newStalledEngine returns an engine that sends one event of each stream and then stalls.
func newStalledEngine() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /load", newEngine().Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: {\"choices\":[]}\n\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	return mux
}

// TestStalledStreamWithoutResume uses an engine that stalls in a stream that cannot be
// resumed. The connection must be aborted after the idle timeout; a normal end would make
// the stream look complete.
func TestStalledStreamWithoutResume(t *testing.T) {
	service := cwscene.NewChatService("north")
	service.Resume = false
	inScene(t, services(service), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		s.AddEndpoint("north-a", "10.1.0.5", "chat-model", newStalledEngine())
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		start := time.Now()
		resp := sendChat(t, s, i, 100)
		is.True(resp.Err != nil)
		is.True(time.Since(start) < 8*time.Second) // the idle timeout is 5 s
	})
}
