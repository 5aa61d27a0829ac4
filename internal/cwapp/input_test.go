package cwapp_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", 40_000)
	scenarios := []struct {
		name    string
		request cwscene.Request
		key     string
		status  int
	}{
		{"unknown service", cwscene.Request{Method: "GET", Path: "/services/nothing/x"}, cwscene.CallerKey, 404},
		{"unknown path", cwscene.Request{Method: "GET", Path: "/nothing"}, cwscene.CallerKey, 404},
		{"wrong key", cwscene.Request{Method: "GET", Path: "/services/lookup/x"}, "wrong", 401},
		{"no key", cwscene.Request{Method: "GET", Path: "/services/lookup/x"}, "", 401},
		{"bad deadline", cwscene.Request{Method: "GET", Path: "/services/lookup/x", Header: []string{"Request-Timeout", "soon"}}, cwscene.CallerKey, 400},
		{"body over the bound", cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: strings.Repeat("x", 150_000)}, cwscene.CallerKey, 413},
		{"header over the bound", cwscene.Request{Method: "GET", Path: "/services/lookup/x", Header: []string{"X-Long", long}}, cwscene.CallerKey, 431},
		{"JSON cut off", cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: `{"a":`, Header: []string{"Content-Type", "application/json"}}, cwscene.CallerKey, 400},
		{"hop header from outside is ignored", cwscene.Request{Method: "GET", Path: "/services/lookup/x", Header: []string{"Clementinewell-Hop", "rubbish"}}, cwscene.CallerKey, 200},
	}
	runInScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		i := s.AddInstance("10.1.0.3", "north", "north-a", "--max-body-bytes=100000")
		s.AwaitReady()
		before, _ := p.plain.TotalRuns()
		for _, sc := range scenarios {
			c := s.NewCaller()
			c.Key = sc.key
			a := c.Do(t.Context(), i, sc.request)
			if a.Status != sc.status {
				t.Errorf("%s: status %d, want %d (%v)", sc.name, a.Status, sc.status, a.Err)
			}
			if sc.status < 400 {
				before++
				continue
			}
			if outcome := decodeProblem(a).Outcome; sc.status != 431 && outcome != cwanswer.NotRun {
				t.Errorf("%s: outcome %q", sc.name, outcome)
			}
		}
		after, _ := p.plain.TotalRuns()
		is.Equal(after, before)
	})
}

// sendRaw sends bytes to an instance as they are and returns the status line.
func sendRaw(t *testing.T, s *cwscene.Scene, i *cwscene.Instance, request string) string {
	conn, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestSlowAndMalformedRequests(t *testing.T) {
	const head = "POST /services/lookup/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + cwscene.CallerKey + "\r\n"
	scenarios := []struct {
		name, request, line string
		within              time.Duration
	}{
		{"header never ends", "POST /services/lookup/x HTTP/1.1\r\nHost:", "", 6 * time.Second},
		{"body never comes", head + "Content-Length: 10\r\n\r\n", "HTTP/1.1 408 Request Timeout", 11 * time.Second},
		{"wrong content length", head + "Content-Length: ten\r\n\r\n", "HTTP/1.1 400 Bad Request", time.Second},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400 Bad Request", time.Second},
		{"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 Bad Request", 11 * time.Second},
		{"broken chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400 Bad Request", time.Second},
		{"malformed request line", "HELLO\r\n\r\n", "HTTP/1.1 400 Bad Request", time.Second},
	}
	runInScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, _ *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		for _, sc := range scenarios {
			start := time.Now()
			line := sendRaw(t, s, p.a, sc.request)
			if sc.name != "length and chunks" && line != sc.line {
				t.Errorf("%s: %q, want %q", sc.name, line, sc.line)
			}
			if took := time.Since(start); took > sc.within {
				t.Errorf("%s: took %s, at most %s", sc.name, took, sc.within)
			}
		}
	})
}

func TestPeersAreAuthenticated(t *testing.T) {
	runInScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		client := &http.Client{Transport: &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext, DisableKeepAlives: true}}
		for _, path := range []string{cwpeer.ForwardPath, "/twirp/cwproto.Peer/Exchange", "/twirp/cwproto.Peer/TakeOver"} {
			message := []byte("{}")
			for _, header := range []string{"", "v1 0 00", cwpeer.NewAuth("another-key-of-16").Sign(path, message, time.Now())} {
				body := encodeHeadFrame(message)
				if !strings.HasPrefix(path, "/peer") {
					body = string(message)
				}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.a.Settings.PeerAddress+path, strings.NewReader(body))
				is.NoErr(err)
				req.Header.Set("Clementinewell-Auth", header)
				resp, err := client.Do(req)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusUnauthorized)
				_ = resp.Body.Close()
			}
		}
	})
}

// encodeHeadFrame returns a stream with the message as its head.
func encodeHeadFrame(message []byte) string {
	return fmt.Sprintf("\x01\x00\x00\x00\x00\x00\x00\x00%c%s", len(message), message)
}

// TestLargeBodyOverTCP sends a body above the bound by a size that net/http does
// not read to its end. The caller gets its 413 or, while it still sends, a closed
// connection; both are allowed, and nothing runs.
func TestLargeBodyOverTCP(t *testing.T) {
	is := is.New(t)
	s := cwscene.NewTCPScene(t, cwscene.NewLookupService("north"))
	defer s.Close()
	plain := cwstandin.NewPlainService("plain", 0)
	s.AddEndpoint("north-a", "10.41.0.5", "lookup", plain.Handler())
	s.Publish()
	i := s.AddInstance("10.41.0.1", "north", "north-a", "--max-body-bytes=2000000")
	s.AwaitReady()
	for range 20 {
		a := s.NewCaller().Do(t.Context(), i, cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: strings.Repeat("x", 3_000_000)})
		is.True(a.Err != nil || a.Status == http.StatusRequestEntityTooLarge)
	}
	total, _ := plain.TotalRuns()
	is.Equal(total, 0)
}
