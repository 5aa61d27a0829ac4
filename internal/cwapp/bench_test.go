package cwapp_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// echoHandler is an endpoint that costs next to nothing.
func echoHandler() http.Handler {
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

// bareRelay is the least that net/http needs to pass a request on.
func bareRelay(target string) http.Handler {
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

// BenchmarkPath compares calls of one endpoint: direct, over one and two bare
// relays, and through one and two instances.
func BenchmarkPath(b *testing.B) {
	near, far := cwscene.Lookup("north", "south"), cwscene.Lookup("south")
	far.Name, far.Transit = "far", []string{"north"}
	s := cwscene.NewTCPScene(b, near, far)
	defer s.Close()
	address := s.AddEndpoint("north-a", "10.21.0.5", "lookup", echoHandler())
	s.AddEndpoint("south-a", "10.22.0.5", "far", echoHandler())
	s.Publish()
	north := s.AddInstance("10.21.0.1", "north", "north-a", "--log-level=warn")
	s.AddInstance("10.22.0.1", "south", "south-a", "--log-level=warn")
	s.AwaitReady()
	s.Await(func() bool { return len(north.Control.Snapshot().Rooms["far"]) > 0 })
	one := httptest.NewServer(bareRelay("http://" + address))
	defer one.Close()
	two := httptest.NewServer(bareRelay(one.URL))
	defer two.Close()
	gateway := "http://" + north.Settings.CallerAddress + "/services/"
	for _, conns := range []int{1, 64} {
		for _, path := range []struct{ name, url string }{
			{"direct", "http://" + address},
			{"relay", one.URL},
			{"gateway", gateway + "lookup"},
			{"tworelays", two.URL},
			{"twoinstances", gateway + "far"},
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
	all := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	for c := range conns {
		wg.Go(func() {
			own := hdrhistogram.New(1, 60_000_000, 3)
			for n := c; n < b.N; n += conns {
				began := time.Now()
				callOnce(b, client, url, body)
				_ = own.RecordValue(time.Since(began).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
}

func callOnce(b *testing.B, client *http.Client, url string, body []byte) {
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+cwscene.Key)
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d: %s %v", resp.StatusCode, answer, err)
	}
	_ = resp.Body.Close()
}
