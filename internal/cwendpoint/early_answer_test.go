package cwendpoint_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// uploadBytes is the length of a body that does not fit into the buffers of a connection.
const uploadBytes = 4 << 20

// startEarlyAnswer serves early answers on the loopback interface and returns the address.
func startEarlyAnswer(t *testing.T, a cwstandin.EarlyAnswer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go a.Serve(l)
	return l.Addr().String()
}

// TestPartOfAnswerBesideUploadIsNotWhole guards against a part of an answer that counts as the whole: the
// endpoint answers a long upload without a length and resets the connection while the upload is written.
func TestPartOfAnswerBesideUploadIsNotWhole(t *testing.T) {
	client := cwendpoint.NewClient(cwnet.NewTCP())
	defer client.CloseIdle()
	for _, end := range []cwstandin.ConnEnd{cwstandin.EndByReset, cwstandin.EndUnread} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			for _, length := range []int64{uploadBytes, -1} {
				t.Run(fmt.Sprintf("end %d after %v, length %d", end, delay, length), func(t *testing.T) {
					is := is.New(t)
					address := startEarlyAnswer(t, cwstandin.EarlyAnswer{Head: "HTTP/1.1 200 OK\r\n", Body: "part", End: end, Delay: delay})
					whole := 0
					for range 40 {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						resp, err := client.Do(ctx, &cwendpoint.Request{
							Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.NewReader(make([]byte, uploadBytes)), Length: length,
						}, &cwnet.SendTracker{})
						if err == nil {
							if _, err = io.ReadAll(resp.Body); err == nil {
								whole++
							}
							_ = resp.Body.Close()
						}
						cancel()
					}
					is.Equal(whole, 0)
				})
			}
		}
	}
}
