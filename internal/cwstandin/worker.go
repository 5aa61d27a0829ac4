package cwstandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker stands in for an endpoint of the users' platform: it echoes identifiers,
// signs its answers, and can be told to misbehave.
type Worker struct {
	// ID is its identifier; a request for another one is turned down.
	ID string

	mu              sync.Mutex
	nextFaults      []WorkerFault
	defaultFault    WorkerFault
	sharedFault     chan WorkerFault
	runs            []WorkerRun
	abortedRequests int
}

// WorkerRun is a request that the worker ran.
type WorkerRun struct {
	// RequestID is the identifier, and Header all fields that came.
	RequestID string
	Header    http.Header
	// Method, Path and Body are those of the request.
	Method, Path, Body string
	// ReceivedAt is when it came.
	ReceivedAt time.Time
}

// WorkerFault is how the worker answers a request.
type WorkerFault int

const (
	// FaultNone is an ordinary answer.
	FaultNone WorkerFault = iota
	// FaultReject says that the request has not run.
	FaultReject
	// FaultServerError runs the request and answers 500.
	FaultServerError
	// FaultLoseResponse runs the request and closes the connection.
	FaultLoseResponse
	// FaultTruncateResponse sends half of the answer.
	FaultTruncateResponse
	// FaultExtraResponse sends a second answer right behind the first.
	FaultExtraResponse
	// FaultUnexpectedResponse sends the answer of another request before its own.
	FaultUnexpectedResponse
	// FaultOmitSignature leaves the signature out.
	FaultOmitSignature
	// FaultHang runs the request and never answers.
	FaultHang
	// FaultTruncateStream ends a stream within its third event.
	FaultTruncateStream
	// FaultTruncateSlowStream sends an event each StreamStep and ends the stream within its sixth.
	FaultTruncateSlowStream
	// FaultPauseStream brings nothing for StreamPause before its third event.
	FaultPauseStream
	// FaultRejectAtDeadline says at the end of the time that the request has not run.
	FaultRejectAtDeadline
)

// SlowStreamInterval is the time between two events of a slow stream.
const SlowStreamInterval = time.Second

// StreamPause is how long a stream that pauses brings nothing.
const StreamPause = 3 * time.Second

// NewWorker returns a worker that answers well.
func NewWorker(id string) *Worker {
	return &Worker{ID: id}
}

// QueueFaults sets how the next requests are answered, one each.
func (w *Worker) QueueFaults(faults ...WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextFaults = append(w.nextFaults, faults...)
}

// SetDefaultFault sets how requests are answered that Next doesn't cover.
func (w *Worker) SetDefaultFault(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultFault = fault
}

// SetFirstRequestFault sets the fault of the one request that reaches any of the workers first.
func SetFirstRequestFault(workers []*Worker, fault WorkerFault) {
	shared := make(chan WorkerFault, 1)
	shared <- fault
	for _, w := range workers {
		w.mu.Lock()
		w.sharedFault = shared
		w.mu.Unlock()
	}
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// AbortedRequests returns the number of requests whose connection closed while they hung.
func (w *Worker) AbortedRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abortedRequests
}

func (w *Worker) takeFault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case f := <-w.sharedFault:
		return f
	default:
	}
	if len(w.nextFaults) == 0 {
		return w.defaultFault
	}
	f := w.nextFaults[0]
	w.nextFaults = w.nextFaults[1:]
	return f
}

// eventsPerStream is the number of events of a stream.
const eventsPerStream = 6

// ServeHTTP answers a request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fault := w.takeFault()
	id := r.Header.Get("Clementinewell-Request-Id")
	if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == FaultRejectAtDeadline {
		left, _ := strconv.Atoi(r.Header.Get("Clementinewell-Deadline-Ms"))
		select {
		case <-time.After(time.Duration(left) * time.Millisecond):
			fault = FaultReject
		case <-r.Context().Done():
		}
	}
	if fault == FaultReject {
		rw.Header().Set("Clementinewell-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, WorkerRun{RequestID: id, Header: r.Header.Clone(), Method: r.Method, Path: r.RequestURI, Body: string(body), ReceivedAt: time.Now()})
	w.mu.Unlock()
	h := rw.Header()
	h.Set("Clementinewell-Request-Id", id)
	if fault != FaultOmitSignature {
		h.Set("Clementinewell-Response-Signature", "signature of "+w.ID)
	}
	answer := "answer of " + w.ID + " to " + id
	switch fault {
	case FaultServerError:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, answer)
	case FaultLoseResponse:
		panic(http.ErrAbortHandler)
	case FaultTruncateResponse:
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(rw, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case FaultExtraResponse:
		w.writeRaw(rw, formatRawResponse(id, w.ID, buildResponseBody(r, answer))+formatRawResponse("another", w.ID, "not yours"))
	case FaultUnexpectedResponse:
		w.writeRaw(rw, formatRawResponse("another", w.ID, "not yours")+formatRawResponse(id, w.ID, buildResponseBody(r, answer)))
	case FaultHang:
		<-r.Context().Done()
		w.mu.Lock()
		w.abortedRequests++
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	default:
		if r.Header.Get("Clementinewell-Token-Count") != "" {
			w.writeStream(rw, r, fault)
			return
		}
		_, _ = io.WriteString(rw, answer)
	}
}

// writeStream sends numbered events from the one that the caller lacks.
func (w *Worker) writeStream(rw http.ResponseWriter, r *http.Request, fault WorkerFault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= eventsPerStream; n++ {
		if fault == FaultTruncateSlowStream && n > last+1 {
			time.Sleep(SlowStreamInterval)
		}
		if fault == FaultTruncateStream && n == last+3 || fault == FaultTruncateSlowStream && n == eventsPerStream {
			_, _ = fmt.Fprintf(rw, "id: %d\nda", n)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == FaultPauseStream && n == last+3 {
			time.Sleep(StreamPause)
		}
		_, _ = io.WriteString(rw, formatEvent(n))
		_ = http.NewResponseController(rw).Flush()
	}
}

func formatEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// buildResponseBody is the body of an answer that is written at once: the events for a
// request that expects a stream.
func buildResponseBody(r *http.Request, answer string) string {
	if r.Header.Get("Clementinewell-Token-Count") == "" {
		return answer
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := ""
	for n := last + 1; n <= eventsPerStream; n++ {
		events += formatEvent(n)
	}
	return events
}

// writeRaw writes bytes past net/http and keeps the connection open for a while, as a
// faulty endpoint would.
func (w *Worker) writeRaw(rw http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	go func() {
		// The caller closes a connection on which it found what it didn't ask for.
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

func formatRawResponse(id, worker, body string) string {
	kind := "text/plain"
	if strings.HasPrefix(body, "id: ") {
		kind = "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: "+kind+"\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: signature of %s\r\nContent-Length: %d\r\n\r\n%s",
		id, worker, len(body), body)
}
