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

// TestBadInput checks that an invalid request is refused with the status for its fault and
// the outcome not run, and is not sent to the endpoint.
func TestBadInput(t *testing.T) {
	longValue := strings.Repeat("x", 40_000)
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
		{"body above the limit", cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: strings.Repeat("x", 150_000)}, cwscene.CallerKey, 413},
		{"header above the limit", cwscene.Request{Method: "GET", Path: "/services/lookup/x", Header: []string{"X-Long", longValue}}, cwscene.CallerKey, 431},
		{"truncated JSON", cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: `{"a":`, Header: []string{"Content-Type", "application/json"}}, cwscene.CallerKey, 400},
		{"hop header from caller is ignored", cwscene.Request{Method: "GET", Path: "/services/lookup/x", Header: []string{"Clementinewell-Hop", "rubbish"}}, cwscene.CallerKey, 200},
	}
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		i := s.AddInstance("10.1.0.3", "north", "north-a", "--max-body-bytes=100000")
		s.AwaitReady()
		wantRuns, _ := p.plain.TotalRuns()
		for _, sc := range scenarios {
			c := s.NewCaller()
			c.Key = sc.key
			resp := c.Do(t.Context(), i, sc.request)
			if resp.Status != sc.status {
				t.Errorf("%s: status %d, want %d (%v)", sc.name, resp.Status, sc.status, resp.Err)
			}
			if sc.status < 400 {
				wantRuns++
				continue
			}
			// A 431 is sent by net/http and has no problem in its body.
			if outcome := decodeProblem(resp).Outcome; sc.status != 431 && outcome != cwanswer.NotRun {
				t.Errorf("%s: outcome %q", sc.name, outcome)
			}
		}
		runs, _ := p.plain.TotalRuns()
		is.Equal(runs, wantRuns)
	})
}

// sendRaw sends raw bytes to an instance and returns the status line of the response. It
// returns the empty string if the connection is closed without one, and the text of the
// error if the bytes cannot be sent.
func sendRaw(t *testing.T, s *cwscene.Scene, i *cwscene.Instance, request string) string {
	conn, err := s.Net.Host(cwscene.CallerIP).DialContext(t.Context(), "tcp", i.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	statusLine, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(statusLine)
}

// TestSlowAndMalformedRequests checks that a caller that stops sending or sends a malformed
// request cannot hold its connection longer than the time-outs of 5 s for the header and 10 s
// for the body.
func TestSlowAndMalformedRequests(t *testing.T) {
	const requestHead = "POST /services/lookup/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + cwscene.CallerKey + "\r\n"
	scenarios := []struct {
		name, request, statusLine string
		maxDuration               time.Duration
	}{
		{"header never completed", "POST /services/lookup/x HTTP/1.1\r\nHost:", "HTTP/1.1 408 Request Timeout", 6 * time.Second},
		{"body never sent", requestHead + "Content-Length: 10\r\n\r\n", "HTTP/1.1 408 Request Timeout", 11 * time.Second},
		{"wrong content length", requestHead + "Content-Length: ten\r\n\r\n", "HTTP/1.1 400 Bad Request", time.Second},
		{"two content lengths", requestHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400 Bad Request", time.Second},
		{"length and chunks", requestHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400 Bad Request", 11 * time.Second},
		{"malformed chunk", requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400 Bad Request", time.Second},
		{"malformed request line", "HELLO\r\n\r\n", "HTTP/1.1 400 Bad Request", time.Second},
	}
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, _ *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		for _, sc := range scenarios {
			start := time.Now()
			statusLine := sendRaw(t, s, p.a, sc.request)
			if sc.name != "length and chunks" && statusLine != sc.statusLine {
				t.Errorf("%s: %q, want %q", sc.name, statusLine, sc.statusLine)
			}
			if elapsed := time.Since(start); elapsed > sc.maxDuration {
				t.Errorf("%s: took %s, want at most %s", sc.name, elapsed, sc.maxDuration)
			}
		}
	})
}

// TestPeersAreAuthenticated checks that the peer interface refuses calls without a valid
// signature by the key that the instances share.
func TestPeersAreAuthenticated(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		client := &http.Client{Transport: &http.Transport{DialContext: s.Net.Host(cwscene.CallerIP).DialContext, DisableKeepAlives: true}}
		for _, path := range []string{cwpeer.ForwardPath, "/twirp/cwproto.Peer/Exchange", "/twirp/cwproto.Peer/TakeOver"} {
			message := []byte("{}")
			for _, authHeader := range []string{"", "v1 0 00", cwpeer.NewAuth("another-key-of-16").Sign(path, message, time.Now())} {
				body := encodeHeadFrame(message)
				if !strings.HasPrefix(path, "/peer") {
					body = string(message)
				}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.a.Settings.PeerAddress+path, strings.NewReader(body))
				is.NoErr(err)
				req.Header.Set("Clementinewell-Auth", authHeader)
				resp, err := client.Do(req)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusUnauthorized)
				_ = resp.Body.Close()
			}
		}
	})
}

// encodeHeadFrame returns a framed stream with the message as its head frame. The message
// must be shorter than 128 bytes.
func encodeHeadFrame(message []byte) string {
	return fmt.Sprintf("\x01\x00\x00\x00\x00\x00\x00\x00%c%s", len(message), message)
}

// TestLargeBodyOverTCP sends a body that exceeds the limit by more than net/http discards.
// The caller gets a 413 or, while it is still sending, a closed connection. Both are
// allowed, but the request must not run.
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
		resp := s.NewCaller().Do(t.Context(), i, cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: strings.Repeat("x", 3_000_000)})
		is.True(resp.Err != nil || resp.Status == http.StatusRequestEntityTooLarge)
	}
	total, _ := plain.TotalRuns()
	is.Equal(total, 0)
}
