package cwapp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestPartOfAnswerBesideUploadIsNotCompleteForCaller guards against a caller that gets a part of an answer
// as the whole, at the instance of the endpoint and at one of another region: the endpoint answers a long
// upload without a length and resets the connection while the upload is written.
func TestPartOfAnswerBesideUploadIsNotCompleteForCaller(t *testing.T) {
	is := is.New(t)
	s := cwscene.NewTCPScene(t, cwscene.NewLookupService("north", "south"))
	defer s.Close()
	const uploads = 40
	for n := range uploads { // one that has failed is left alone for a while
		s.AddEndpoint("north-a", fmt.Sprintf("10.42.1.%d", n+1), "lookup", newHijackedHandler(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}))
	}
	s.Publish()
	instances := []*cwscene.Instance{s.AddInstance("10.42.0.1", "north", "north-a"), s.AddInstance("10.42.0.2", "south", "south-a")}
	s.AwaitReady()
	c, body, counts := s.NewCaller(), strings.Repeat("x", 4<<20), make(map[int]int)
	for n := range uploads {
		resp := c.Do(t.Context(), instances[n%2], cwscene.Request{Method: "POST", Path: "/services/lookup/x", Body: body})
		counts[resp.Status]++
		is.True(resp.Err != nil || resp.Status >= http.StatusInternalServerError)
	}
	t.Log("responses by status:", counts)
}

// newHijackedHandler returns a handler that answers POST requests on their connections and closes these.
// All others get 404, as from a service without load reports.
func newHijackedHandler(answer func(conn net.Conn, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		answer(conn, r)
	})
}
