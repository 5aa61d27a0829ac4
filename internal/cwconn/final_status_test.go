package cwconn_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestStatusOfNoFinalResponseIsNotReturned guards against an answer of a faulty peer that counts as a
// response although its status is none, and against one whose body is read as the response that follows.
func TestStatusOfNoFinalResponseIsNotReturned(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		for _, body := range []string{"", hidden} {
			t.Run(fmt.Sprintf("status %03d, %d bytes", status, len(body)), func(t *testing.T) {
				is := is.New(t)
				address := startEarlyAnswer(t, cwstandin.EarlyAnswer{Head: fmt.Sprintf("HTTP/1.1 %03d None\r\nContent-Length: %d\r\n", status, len(body)), Body: body})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := cwconn.NewPool(cwnet.NewTCP()).Do(ctx, newCall(address))
				var statusErr *cwlimit.StatusError
				is.True(errors.As(err, &statusErr))
				is.Equal(statusErr.Status, status)
			})
		}
	}
}
