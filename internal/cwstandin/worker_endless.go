package cwstandin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessChunkBytes is the size of a write of endless bytes, and endlessInterval the time
	// between two, which together bound their rate to 32 MB/s.
	endlessChunkBytes = 64 << 10
	endlessInterval   = 2 * time.Millisecond
)

// writeEndless sends the bytes of a fault to the connection until the client closes it. Like
// a truncated response, it aborts the handler.
func (w *Worker) writeEndless(rw http.ResponseWriter, fault WorkerFault, id string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	begin, repeated := endlessBytes(fault, id, w.ID)
	chunk := strings.Repeat(repeated, max(endlessChunkBytes/len(repeated), 1))
	for _, err = io.WriteString(conn, begin); err == nil; _, err = io.WriteString(conn, chunk) {
		time.Sleep(endlessInterval)
	}
	panic(http.ErrAbortHandler)
}

// endlessBytes returns how the bytes of a fault begin, and what is repeated after that.
func endlessBytes(fault WorkerFault, id, worker string) (begin, repeated string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: signature of %s\r\n", id, worker)
	switch fault {
	case FaultEndlessField:
		return head + "X-Endless: ", "x"
	case FaultEndlessHead:
		return head, "X-Endless: more\r\n"
	case FaultEndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	case FaultEndlessBody:
		return head + "\r\n", "x"
	case FaultEndlessEvent:
		return head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"
	default:
		return "", "x"
	}
}
