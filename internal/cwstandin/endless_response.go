package cwstandin

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// maxEndlessBytes is where an endless response stops and its connection is closed, so that a
// test ends even if the client has no limit.
const maxEndlessBytes = 128 << 20

// EndlessResponse stands in for a peer whose response has no end.
type EndlessResponse struct {
	// Name describes what has no end.
	Name string
	// Start is sent once, and Repeated until the client closes the connection. In Start,
	// RequestIDPlaceholder is replaced by the request's identifier.
	Start, Repeated string
	// PauseAfterBytes is the number of repeated bytes after which nothing more is sent, but
	// the connection stays open; 0 means that there is no pause.
	PauseAfterBytes int
	// Interval is the time between two parts; 0 sends without pauses.
	Interval time.Duration

	// notCutOff counts the responses that the client has not cut off.
	notCutOff atomic.Int64
}

// NotCutOff returns how many responses reached maxEndlessBytes before the client closed the
// connection.
func (e *EndlessResponse) NotCutOff() int {
	return int(e.notCutOff.Load())
}

// RequestIDPlaceholder stands for the identifier of the request in a response.
const RequestIDPlaceholder = "{id}"

// EndlessHeads returns responses whose head has no end. Each is cut off in another part.
func EndlessHeads() []*EndlessResponse {
	return []*EndlessResponse{
		{Name: "status line", Start: "HTTP/1.1 200 ", Repeated: "OK and "},
		{Name: "field line", Start: "HTTP/1.1 200 OK\r\nX-Long: ", Repeated: "abcdefgh"},
		{Name: "fields", Start: "HTTP/1.1 200 OK\r\n", Repeated: "X-Many: abcdefgh\r\n"},
		{Name: "continued field line", Start: "HTTP/1.1 200 OK\r\nX-Folded: a\r\n", Repeated: " b\r\n"},
		{Name: "interim heads", Repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"},
		{Name: "no HTTP", Repeated: "no answer "},
		{Name: "empty lines", Repeated: "\r\n"},
	}
}

// ServeHTTP sends the response.
func (e *EndlessResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, strings.ReplaceAll(e.Start, RequestIDPlaceholder, r.Header.Get(RequestIDHeader))); err != nil {
		return
	}
	part := []byte(strings.Repeat(e.Repeated, 32<<10/len(e.Repeated)))
	if e.Interval > 0 {
		part = []byte(e.Repeated)
	}
	for sent := 0; sent < maxEndlessBytes; sent += len(part) {
		if e.PauseAfterBytes > 0 && sent >= e.PauseAfterBytes {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
		time.Sleep(e.Interval)
	}
	e.notCutOff.Add(1)
}

// signedStart returns the start of a signed response to the request, without the end of the
// head.
func signedStart(statusLine string) string {
	return "HTTP/1.1 " + statusLine + "\r\n" + RequestIDHeader + ": " + RequestIDPlaceholder + "\r\nClementinewell-Response-Signature: signed\r\n"
}

// EndlessBodies returns responses of a worker that ran the request, whose body has no end.
func EndlessBodies() []*EndlessResponse {
	chunked := signedStart("200 OK") + "Transfer-Encoding: chunked\r\n"
	return []*EndlessResponse{
		{Name: "body without length", Start: signedStart("200 OK") + "\r\n", Repeated: "abcdefgh"},
		{Name: "body with a length beyond any memory", Start: signedStart("200 OK") + "Content-Length: 1000000000000\r\n\r\n", Repeated: "abcdefgh"},
		{Name: "error body", Start: signedStart("500 Internal Server Error") + "\r\n", Repeated: "abcdefgh"},
		{Name: "chunks", Start: chunked + "\r\n", Repeated: "8\r\nabcdefgh\r\n"},
		{Name: "chunk of any length", Start: chunked + "\r\n7fffffffffffffff\r\n", Repeated: "abcdefgh"},
		{Name: "chunk extension", Start: chunked + "\r\n8;", Repeated: "abcdefgh"},
		{Name: "chunks with extensions", Start: chunked + "\r\n", Repeated: "1;abcdefghijklmnopqrstuvwxyz\r\na\r\n"},
		{Name: "chunk length", Start: chunked + "\r\n", Repeated: "0"},
		{Name: "trailer line", Start: chunked + "\r\n8\r\nabcdefgh\r\n0\r\nX-Long: ", Repeated: "abcdefgh"},
		{Name: "trailers", Start: chunked + "Trailer: X-Many\r\n\r\n8\r\nabcdefgh\r\n0\r\n", Repeated: "X-Many: abcdefgh\r\n"},
		{Name: "body of another response", Start: "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": another\r\n\r\n", Repeated: "abcdefgh"},
		{Name: "unsigned body", Start: "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": " + RequestIDPlaceholder + "\r\n\r\n", Repeated: "abcdefgh"},
	}
}

// EndlessRejections returns responses of a worker that did not run the request, whose body has
// no end.
func EndlessRejections() []*EndlessResponse {
	start := "HTTP/1.1 503 Service Unavailable\r\nClementinewell-Not-Executed: 1\r\n"
	return []*EndlessResponse{
		{Name: "rejection", Start: start + "\r\n", Repeated: "abcdefgh"},
		{Name: "rejection with a length", Start: start + "Content-Length: 1000000000000\r\n\r\n", Repeated: "abcdefgh"},
		{Name: "slow rejection", Start: start + "\r\n", Repeated: "abcdefgh", Interval: 50 * time.Millisecond},
		{Name: "slow rejection with a length", Start: start + "Content-Length: 1000\r\n\r\n", Repeated: "a", Interval: 50 * time.Millisecond},
		{Name: "rejection in chunks", Start: start + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "8\r\nabcdefgh\r\n"},
	}
}

// StreamResponse returns the response of a worker that sends the start of a stream of events
// and then repeats a part without an end.
func StreamResponse(name, start, repeated string) *EndlessResponse {
	return &EndlessResponse{Name: name, Start: signedStart("200 OK") + "Content-Type: text/event-stream\r\n\r\n" + start, Repeated: repeated}
}
