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

	mu     sync.Mutex
	next   []WorkerFault
	always WorkerFault
	shared chan WorkerFault
	runs   []WorkerRun
	gone   int
}

// WorkerRun is a request that the worker ran.
type WorkerRun struct {
	// Request is the identifier, and Header all fields that came.
	Request string
	Header  http.Header
	// Method, Path and Body are those of the request.
	Method, Path, Body string
	// At is when it came.
	At time.Time
}

// WorkerFault is how the worker answers a request.
type WorkerFault int

const (
	// Well is an ordinary answer.
	Well WorkerFault = iota
	// Rejects says that the request has not run.
	Rejects
	// Fails runs the request and answers 500.
	Fails
	// LosesAnswer runs the request and closes the connection.
	LosesAnswer
	// CutsAnswer sends half of the answer.
	CutsAnswer
	// AnswersTwice sends a second answer right behind the first.
	AnswersTwice
	// AnswersForeign sends the answer of another request before its own.
	AnswersForeign
	// Unsigned leaves the signature out.
	Unsigned
	// Hangs runs the request and never answers.
	Hangs
	// CutsStream ends a stream within its third event.
	CutsStream
	// CutsOldStream sends an event each StreamStep and ends the stream within its sixth.
	CutsOldStream
	// PausesStream brings nothing for StreamPause before its third event.
	PausesStream
	// RejectsAtDeadline says at the end of the time that the request has not run.
	RejectsAtDeadline
)

// StreamStep is the time between two events of a slow stream.
const StreamStep = time.Second

// StreamPause is how long a stream that pauses brings nothing.
const StreamPause = 3 * time.Second

// NewWorker returns a worker that answers well.
func NewWorker(id string) *Worker {
	return &Worker{ID: id}
}

// Next sets how the next requests are answered, one each.
func (w *Worker) Next(faults ...WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = append(w.next, faults...)
}

// Always sets how requests are answered that Next doesn't cover.
func (w *Worker) Always(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.always = fault
}

// FirstOf sets the fault of the one request that reaches any of the workers first.
func FirstOf(workers []*Worker, fault WorkerFault) {
	shared := make(chan WorkerFault, 1)
	shared <- fault
	for _, w := range workers {
		w.mu.Lock()
		w.shared = shared
		w.mu.Unlock()
	}
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// Gone returns the number of requests whose connection closed while they hung.
func (w *Worker) Gone() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

func (w *Worker) fault() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case f := <-w.shared:
		return f
	default:
	}
	if len(w.next) == 0 {
		return w.always
	}
	f := w.next[0]
	w.next = w.next[1:]
	return f
}

// streamEvents is the number of events of a stream.
const streamEvents = 6

// ServeHTTP answers a request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fault := w.fault()
	id := r.Header.Get("Clementinewell-Request-Id")
	if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == RejectsAtDeadline {
		left, _ := strconv.Atoi(r.Header.Get("Clementinewell-Deadline-Ms"))
		select {
		case <-time.After(time.Duration(left) * time.Millisecond):
			fault = Rejects
		case <-r.Context().Done():
		}
	}
	if fault == Rejects {
		rw.Header().Set("Clementinewell-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, WorkerRun{Request: id, Header: r.Header.Clone(), Method: r.Method, Path: r.RequestURI, Body: string(body), At: time.Now()})
	w.mu.Unlock()
	h := rw.Header()
	h.Set("Clementinewell-Request-Id", id)
	if fault != Unsigned {
		h.Set("Clementinewell-Response-Signature", "signature of "+w.ID)
	}
	answer := "answer of " + w.ID + " to " + id
	switch fault {
	case Fails:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, answer)
	case LosesAnswer:
		panic(http.ErrAbortHandler)
	case CutsAnswer:
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(rw, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case AnswersTwice:
		w.raw(rw, rawAnswer(id, w.ID, wholeAnswer(r, answer))+rawAnswer("another", w.ID, "not yours"))
	case AnswersForeign:
		w.raw(rw, rawAnswer("another", w.ID, "not yours")+rawAnswer(id, w.ID, wholeAnswer(r, answer)))
	case Hangs:
		<-r.Context().Done()
		w.mu.Lock()
		w.gone++
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	default:
		if r.Header.Get("Clementinewell-Token-Count") != "" {
			w.stream(rw, r, fault)
			return
		}
		_, _ = io.WriteString(rw, answer)
	}
}

// stream sends numbered events from the one that the caller lacks.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, fault WorkerFault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		if fault == CutsOldStream && n > last+1 {
			time.Sleep(StreamStep)
		}
		if fault == CutsStream && n == last+3 || fault == CutsOldStream && n == streamEvents {
			_, _ = fmt.Fprintf(rw, "id: %d\nda", n)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == PausesStream && n == last+3 {
			time.Sleep(StreamPause)
		}
		_, _ = io.WriteString(rw, event(n))
		_ = http.NewResponseController(rw).Flush()
	}
}

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// wholeAnswer is the body of an answer that is written at once: the events for a
// request that expects a stream.
func wholeAnswer(r *http.Request, answer string) string {
	if r.Header.Get("Clementinewell-Token-Count") == "" {
		return answer
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := ""
	for n := last + 1; n <= streamEvents; n++ {
		events += event(n)
	}
	return events
}

// raw writes bytes past net/http and keeps the connection open for a while, as a
// faulty endpoint would.
func (w *Worker) raw(rw http.ResponseWriter, text string) {
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

func rawAnswer(id, worker, body string) string {
	kind := "text/plain"
	if strings.HasPrefix(body, "id: ") {
		kind = "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: "+kind+"\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: signature of %s\r\nContent-Length: %d\r\n\r\n%s",
		id, worker, len(body), body)
}
