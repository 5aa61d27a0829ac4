package cwstandin

import (
	"io"
	"net/http"
	"strings"
)

// maxEndlessBytes is where an endless response stops and its connection is closed, so that a
// test ends even if the client has no limit.
const maxEndlessBytes = 48 << 20

// EndlessResponse stands in for a peer whose response has no end.
type EndlessResponse struct {
	// Name describes what has no end.
	Name string
	// Start is sent once, and Repeated until the client closes the connection. In Start,
	// RequestIDPlaceholder is replaced by the request's identifier.
	Start, Repeated string
}

// RequestIDPlaceholder stands for the identifier of the request in a response.
const RequestIDPlaceholder = "{id}"

// EndlessHeads returns responses whose head has no end. Each is cut off in another part.
func EndlessHeads() []EndlessResponse {
	return []EndlessResponse{
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
	for sent := 0; sent < maxEndlessBytes; sent += len(part) {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}
