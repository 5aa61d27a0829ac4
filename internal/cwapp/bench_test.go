package cwapp_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// newFixedResponseHandler returns the handler of an endpoint whose own cost is negligible: it
// discards the body and sends a fixed response.
func newFixedResponseHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"incarnation":1,"slots":10000}`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"answer":"the whole answer to one request"}`)
	})
	return mux
}

// newMinimalProxy returns a reverse proxy with only what net/http needs to forward a request.
func newMinimalProxy(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		req.ContentLength = r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// BenchmarkPath compares calls to an endpoint: direct, through one and two minimal proxies
// ("relay", "tworelays"), and through one and two instances ("gateway", "twoinstances").
func BenchmarkPath(b *testing.B) {
	nearService, farService := cwscene.NewLookupService("north", "south"), cwscene.NewLookupService("south")
	farService.Name, farService.Transit = "far", []string{"north"}
	s := cwscene.NewTCPScene(b, nearService, farService)
	defer s.Close()
	address := s.AddEndpoint("north-a", "10.21.0.5", "lookup", newFixedResponseHandler())
	s.AddEndpoint("south-a", "10.22.0.5", "far", newFixedResponseHandler())
	s.Publish()
	north := s.AddInstance("10.21.0.1", "north", "north-a", "--log-level=warn")
	s.AddInstance("10.22.0.1", "south", "south-a", "--log-level=warn")
	s.AwaitReady()
	s.Await(func() bool { return len(north.Control.Snapshot().Capacities["far"]) > 0 })
	oneProxy := httptest.NewServer(newMinimalProxy("http://" + address))
	defer oneProxy.Close()
	twoProxies := httptest.NewServer(newMinimalProxy(oneProxy.URL))
	defer twoProxies.Close()
	gatewayURL := "http://" + north.Settings.CallerAddress + "/services/"
	for _, conns := range []int{1, 64} {
		for _, path := range []struct{ name, url string }{
			{"direct", "http://" + address},
			{"relay", oneProxy.URL},
			{"gateway", gatewayURL + "lookup"},
			{"tworelays", twoProxies.URL},
			{"twoinstances", gatewayURL + "far"},
		} {
			b.Run(fmt.Sprintf("%s/conns=%d", path.name, conns), func(b *testing.B) { benchmarkURL(b, path.url+"/x", conns) })
		}
	}
}

func benchmarkURL(b *testing.B, url string, conns int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), 1024)
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	for c := range conns {
		wg.Go(func() {
			callerLatencies := hdrhistogram.New(1, 60_000_000, 3)
			for n := c; n < b.N; n += conns {
				callStart := time.Now()
				postOnce(b, client, url, body)
				_ = callerLatencies.RecordValue(time.Since(callStart).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			latencies.Merge(callerLatencies)
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
}

func postOnce(b *testing.B, client *http.Client, url string, body []byte) {
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+cwscene.CallerKey)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	respBody, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d: %s %v", resp.StatusCode, respBody, err)
	}
	_ = resp.Body.Close()
}

// newTokenHandler returns the handler of an endpoint that streams tokensPerStream events with
// a pause after each. If keepOpen is set, the stream stays open after the last event.
func newTokenHandler(pause time.Duration, keepOpen bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"incarnation":1,"slots":100000,"loaded":["chat-model"]}`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		var tick <-chan time.Time
		if pause > 0 {
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			tick = ticker.C
		}
		for n := range tokensPerStream {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n", n)
			_ = rc.Flush()
			if tick != nil {
				<-tick
			}
		}
		if keepOpen {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	return mux
}

// tokensPerStream is the number of events in a stream of newTokenHandler, one for each token.
const tokensPerStream = 400

func newStreamScene(b *testing.B, pause time.Duration, keepOpen bool) (*cwscene.Scene, string) {
	s := cwscene.NewTCPScene(b, cwscene.NewChatService("north"))
	s.AddEndpoint("north-a", "10.23.0.5", "chat-model", newTokenHandler(pause, keepOpen))
	s.Publish()
	i := s.AddInstance("10.23.0.1", "north", "north-a", "--log-level=warn", "--idle-timeout=60s", "--probe-after=60s")
	s.AwaitReady()
	return s, "http://" + i.Settings.CallerAddress + "/services/chat/v1/chat/completions"
}

// BenchmarkStream forwards event streams that are sent without pauses, eight at a time.
func BenchmarkStream(b *testing.B) {
	benchmarkStreams(b, 0, 8)
}

// BenchmarkPacedStream forwards event streams with a pause of 10 ms after each event, 200 at
// a time.
func BenchmarkPacedStream(b *testing.B) {
	benchmarkStreams(b, 10*time.Millisecond, 200)
}

func benchmarkStreams(b *testing.B, pause time.Duration, streams int) {
	s, url := newStreamScene(b, pause, false)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for _, path := range []struct{ name, url string }{
		{"direct", "http://127.23.0.5:7090/x"}, {"gateway", url},
	} {
		b.Run(path.name, func(b *testing.B) {
			var wg sync.WaitGroup
			start, cpuStart := time.Now(), processCPUTime()
			for c := range streams {
				wg.Go(func() {
					for n := c; n < b.N; n += streams {
						postOnce(b, client, path.url, []byte(`{"stream":true,"messages":[]}`))
					}
				})
			}
			wg.Wait()
			tokens := float64(b.N * tokensPerStream)
			b.ReportMetric(tokens/time.Since(start).Seconds(), "tokens/s")
			b.ReportMetric(float64((processCPUTime()-cpuStart).Nanoseconds())/tokens, "cpu-ns/token")
		})
	}
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkInFlight measures the memory in bytes of each open stream. Caller, gateway and
// endpoint share the process, so the result of the direct case must be subtracted.
func BenchmarkInFlight(b *testing.B) {
	s, url := newStreamScene(b, 0, true)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	const streams = 500
	for _, path := range []struct{ name, url string }{
		{"direct", "http://127.23.0.5:7090/x"}, {"gateway", url},
	} {
		b.Run(path.name, func(b *testing.B) {
			for b.Loop() {
				before := liveMemoryBytes()
				bodies := make([]io.Closer, 0, streams)
				for range streams {
					req, _ := http.NewRequest(http.MethodPost, path.url, strings.NewReader(`{"stream":true,"messages":[]}`))
					req.Header.Set("Authorization", "Bearer "+cwscene.CallerKey)
					resp, err := client.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.CopyN(io.Discard, resp.Body, 20_000)
					bodies = append(bodies, resp.Body)
				}
				b.ReportMetric(float64(liveMemoryBytes()-before)/streams, "bytes/stream")
				for _, body := range bodies {
					_ = body.Close()
				}
			}
		})
	}
}

// liveMemoryBytes returns the size of the live heap and the stacks of this process.
func liveMemoryBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
