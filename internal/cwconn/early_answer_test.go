package cwconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// uploadBytes is the length of a body that does not fit into the buffers of a connection.
const uploadBytes = 4 << 20

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
// peer answers a long upload without a length and resets the connection while the upload is written.
func TestPartOfAnswerBesideUploadIsNotWhole(t *testing.T) {
	pool := cwconn.NewPool(cwnet.NewTCP())
	for _, end := range []cwstandin.ConnEnd{cwstandin.EndByReset, cwstandin.EndUnread} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("end %d after %v", end, delay), func(t *testing.T) {
				is := is.New(t)
				address := startEarlyAnswer(t, cwstandin.EarlyAnswer{Head: "HTTP/1.1 200 OK\r\n", Body: "part", End: end, Delay: delay})
				whole := 0
				for range 40 {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					call := newCall(address)
					call.Body = make([]byte, uploadBytes)
					if response, err := pool.Do(ctx, call); err == nil {
						if _, err = io.ReadAll(response); err == nil {
							whole++
						}
						response.Close()
					}
					cancel()
				}
				is.Equal(whole, 0)
			})
		}
	}
}
