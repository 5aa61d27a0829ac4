package cwendpoint_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestStatusOfNoFinalResponseIsNotReturned guards against an answer of a faulty endpoint that counts as a
// response although its status is none.
func TestStatusOfNoFinalResponseIsNotReturned(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		client := cwendpoint.NewClient(cwnet.NewTCP())
		address := startEarlyAnswer(t, cwstandin.EarlyAnswer{Head: fmt.Sprintf("HTTP/1.1 %03d None\r\nContent-Length: 0\r\n", status)})
		for name, call := range map[string]func(ctx context.Context) error{
			"request": func(ctx context.Context) error {
				_, err := client.Do(ctx, &cwendpoint.Request{Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: http.NoBody}, &cwnet.SendTracker{})
				return err
			},
			"load": func(ctx context.Context) error {
				_, err := client.FetchLoad(ctx, address)
				return err
			},
			"probe": func(ctx context.Context) error { return client.Probe(ctx, address, "/") },
			"resume": func(ctx context.Context) error {
				_, err := client.Resume(ctx, address, "a", "")
				return err
			},
			"cancel": func(ctx context.Context) error { return client.Cancel(ctx, address, "a") },
		} {
			t.Run(fmt.Sprintf("%s, status %03d", name, status), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var statusErr *cwlimit.StatusError
				err := call(ctx)
				is.True(errors.As(err, &statusErr))
				is.Equal(statusErr.Status, status)
			})
		}
		client.CloseIdle()
	}
}
