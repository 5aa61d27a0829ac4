package cwstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// rawRefusal is a refusal that names no request.
const rawRefusal = "HTTP/1.1 503 Service Unavailable\r\nClementinewell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// repeatRefusal rejects a request. It writes the refusal once more when the next request arrives on the
// same connection, which it runs and answers.
func (w *Worker) repeatRefusal(rw http.ResponseWriter) {
	w.answerBeforeRefusal(rw, rawRefusal)
}

// answerBeforeRefusal writes a response. It writes a refusal when the next request arrives on the same
// connection, which it runs and answers.
func (w *Worker) answerBeforeRefusal(rw http.ResponseWriter, response string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, response)
	go func() {
		defer func() { _ = conn.Close() }()
		w.serveAfterRefusal(conn, buffered.Reader)
	}()
}

// rawEmptyReport is the report of a worker without runs.
const rawEmptyReport = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

func (w *Worker) serveAfterRefusal(conn net.Conn, reader *bufio.Reader) {
	r, err := http.ReadRequest(reader)
	for err == nil && r.URL.Path == ReportPath { // a worker runs nothing for it
		_, _ = io.WriteString(conn, rawEmptyReport)
		r, err = http.ReadRequest(reader)
	}
	if err != nil {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(RequestIDHeader)
	w.mu.Lock()
	w.arrivals = append(w.arrivals, time.Now())
	w.runs = append(w.runs, WorkerRun{RequestID: id, Header: r.Header, Method: r.Method, Path: r.RequestURI, Body: string(body), ReceivedAt: time.Now()})
	serviceTime := w.serviceTime
	w.mu.Unlock()
	_, _ = io.WriteString(conn, rawRefusal)
	time.Sleep(serviceTime)
	_, _ = io.WriteString(conn, formatRawResponse(id, w.ID, w.buildResponseBody(r, "answer of "+w.ID+" to "+id)))
	// The client closes the connection or leaves it idle.
	_, _ = io.Copy(io.Discard, reader)
}
