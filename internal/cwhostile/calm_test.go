package cwhostile_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLegalRequestIsServedInCalm guards against a bound that refuses a request inside the limits of
// the pages although the instance has nothing else to do. Each kind comes several times in turn, so
// that memory which isn't given back shows too.
func TestLegalRequestIsServedInCalm(t *testing.T) {
	g := startGateway(t, buildProgram(t), shortHeaderTimeout)
	released := make(chan struct{})
	close(released)
	g.release.Store(&released)
	g.await("an ordinary request is answered before", g.isServing)
	for _, s := range scenarios() {
		if !s.isLegal {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			for n := range 8 {
				if status := fetchStatus(t, s.address, s.text()); status != http.StatusOK {
					t.Fatalf("request %d: got status %d, expected 200", n, status)
				}
			}
		})
	}
}

// fetchStatus sends the text on a new connection, reads the whole response and returns its status.
func fetchStatus(t *testing.T, address, text string) int {
	c, err := net.DialTimeout("tcp", address, eventTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
