package cwapp_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// panickingWriteNet is a network on which the next success that is sent to a caller panics.
type panickingWriteNet struct {
	cwnet.Net
	isArmed *atomic.Bool
}

func (n panickingWriteNet) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Net.Listen(ctx, address)
	if err != nil || !strings.HasSuffix(address, ":7080") {
		return l, err
	}
	return panickingListener{Listener: l, isArmed: n.isArmed}, nil
}

type panickingListener struct {
	net.Listener
	isArmed *atomic.Bool
}

func (l panickingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return panickingConn{Conn: c, isArmed: l.isArmed}, nil
}

type panickingConn struct {
	net.Conn
	isArmed *atomic.Bool
}

func (c panickingConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("HTTP/1.1 200")) && c.isArmed.CompareAndSwap(true, false) {
		panic("fault in a write")
	}
	return c.Conn.Write(p)
}

// flushingWriter sends each part of a response at once, so that the response has no length.
type flushingWriter struct {
	http.ResponseWriter
}

func (w flushingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	return n, err
}

// flushingHandler makes an instance forward each part of a response as it arrives.
func flushingHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(flushingWriter{w}, r) })
}

// TestPanicFreesSlotAndTicket guards against a fault of the program that keeps an endpoint's slot
// or a ticket for good: further requests then wait in the queue, and duplicates for a response,
// until their deadlines.
func TestPanicFreesSlotAndTicket(t *testing.T) {
	inScene(t, services(cwscene.NewBookingService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		var isArmed atomic.Bool
		s.WrapNet = func(n cwnet.Net) cwnet.Net { return panickingWriteNet{Net: n, isArmed: &isArmed} }
		plain := cwstandin.NewPlainService("plain", 0)
		plain.SetSlots(1)
		s.AddEndpoint("north-a", "10.1.0.5", "booking", flushingHandler(plain.Handler()))
		s.Publish()
		i := s.AddInstance("10.1.0.1", "north", "north-a")
		s.AwaitReady()
		c := s.NewCaller()
		ticket, another := requestTicket(t.Context(), is, c, i), requestTicket(t.Context(), is, c, i)
		isArmed.Store(true)
		is.True(sendBooking(t.Context(), c, i, ticket).Err != nil) // the response had begun
		is.True(!isArmed.Load())
		start := time.Now()
		duplicate := sendBooking(t.Context(), c, i, ticket)
		is.NoErr(duplicate.Err)
		is.Equal(duplicate.Status, http.StatusConflict)
		is.Equal(decodeProblem(duplicate).Outcome, cwanswer.Unknown)
		is.True(time.Since(start) < time.Second)
		is.Equal(sendBooking(t.Context(), c, i, another).Status, http.StatusOK)
		is.True(time.Since(start) < 2*i.Settings.PollInterval) // the endpoint's next report has been read
		is.Equal(plain.Runs(ticket), 1)
	})
}
