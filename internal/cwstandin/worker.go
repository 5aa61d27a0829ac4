package cwstandin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker stands in for an endpoint of the users' platform. It returns the request's
// identifier, signs its responses, and can be set to inject faults.
type Worker struct {
	// ID is the worker's identifier. Requests that expect another one are rejected.
	ID string

	mu              sync.Mutex
	nextFaults      []WorkerFault
	defaultFault    WorkerFault
	sharedFault     chan WorkerFault
	runs            []WorkerRun
	abortedRequests int
	// rateLimits are the limits named so far, in order of time, and arrivals the times at
	// which requests were received.
	rateLimits []rateLimitChange
	arrivals   []time.Time
	// serviceTime is how long the worker takes before it responds.
	serviceTime time.Duration
	// partInterval is the time between the events of a stream, or the halves of another body.
	partInterval time.Duration
	crash        *Crash
	// header is set in all responses.
	header http.Header
	// version is named in each event of a stream; empty to name none.
	version string
	coldness
	report workerReport
}

// NewWorker returns a worker that injects no faults.
func NewWorker(id string) *Worker {
	return &Worker{ID: id, report: workerReport{bornMillis: 1}}
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// AbortedRequests returns the number of requests with FaultHang whose connection the
// client closed.
func (w *Worker) AbortedRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abortedRequests
}

// SetServiceTime sets how long the worker takes before it responds to a request.
func (w *Worker) SetServiceTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serviceTime = d
}

// SetPartInterval sets the time between two events of a stream, or between the two halves of
// another body.
func (w *Worker) SetPartInterval(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partInterval = d
}

// SetHeader makes the worker set a field in all its responses, also those that reject a request; an
// empty value removes it.
func (w *Worker) SetHeader(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.header == nil {
		w.header = make(http.Header)
	}
	w.header.Set(name, value)
	if value == "" {
		w.header.Del(name)
	}
}

// SetVersion makes the worker name its software version in each event of a stream.
func (w *Worker) SetVersion(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// waitForNextPart waits for the interval, after what was written so far has been sent.
func (w *Worker) waitForNextPart(rw http.ResponseWriter) {
	w.mu.Lock()
	interval := w.partInterval
	w.mu.Unlock()
	if interval > 0 {
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(interval)
	}
}

// recordArrival records a request and names the current rate limit in its response. It
// returns the service time.
func (w *Worker) recordArrival(header http.Header) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, time.Now())
	maps.Copy(header, w.header)
	if n := len(w.rateLimits); n > 0 && w.rateLimits[n-1].isNamed {
		header.Set("Server-Limit", strconv.FormatFloat(w.rateLimits[n-1].perSecond, 'f', -1, 64))
	}
	return w.serviceTime
}

// ServeHTTP serves a request with the worker's next fault.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReportPath {
		w.serveReport(rw)
		return
	}
	body, _ := io.ReadAll(r.Body)
	fault := w.takeFault()
	time.Sleep(w.recordArrival(rw.Header()))
	id := r.Header.Get("Clementinewell-Request-Id")
	if expected := r.Header.Get("Clementinewell-Expected-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == HealthPath {
		w.serveHealth(rw)
		return
	}
	if fault == FaultRejectAtDeadline {
		remainingMillis, _ := strconv.Atoi(r.Header.Get("Clementinewell-Deadline-Ms"))
		select {
		case <-time.After(time.Duration(remainingMillis) * time.Millisecond):
			fault = FaultReject
		case <-r.Context().Done():
		}
	}
	if fault == FaultRepeatRefusal {
		w.repeatRefusal(rw)
		return
	}
	if fault == FaultReject {
		rw.Header().Set("Clementinewell-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, WorkerRun{RequestID: id, Header: r.Header.Clone(), Method: r.Method, Path: r.RequestURI, Body: string(body), ReceivedAt: time.Now()})
	w.mu.Unlock()
	header := rw.Header()
	header.Set("Clementinewell-Request-Id", id)
	if fault != FaultOmitSignature {
		header.Set("Clementinewell-Response-Signature", "signature of "+w.ID)
	}
	if w.crashUnder(rw, r, string(body)) {
		return
	}
	if fault == FaultSlowResponse {
		select {
		case <-time.After(SlowResponseTime):
		case <-r.Context().Done():
			w.abort()
		}
	}
	text := "answer of " + w.ID + " to " + id
	if fault >= FaultEndlessLine {
		w.writeEndless(rw, fault, id)
		return
	}
	switch fault {
	case FaultServerError:
		rw.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(rw, text)
	case FaultLoseResponse:
		panic(http.ErrAbortHandler)
	case FaultTruncateResponse:
		header.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case FaultExtraResponse:
		w.writeRaw(rw, formatRawResponse(id, w.ID, w.buildResponseBody(r, text))+formatRawResponse("another", w.ID, "not yours"))
	case FaultExtraRefusal:
		w.answerBeforeRefusal(rw, formatRawResponse(id, w.ID, w.buildResponseBody(r, text)))
	case FaultUnexpectedResponse:
		w.writeRaw(rw, formatRawResponse("another", w.ID, "not yours")+formatRawResponse(id, w.ID, w.buildResponseBody(r, text)))
	case FaultHang:
		<-r.Context().Done()
		w.abort()
	default:
		if r.Header.Get("Clementinewell-Token-Count") != "" {
			w.writeStream(rw, r, fault)
			return
		}
		_, _ = io.WriteString(rw, text[:len(text)/2])
		w.waitForNextPart(rw)
		_, _ = io.WriteString(rw, text[len(text)/2:])
	}
}

// abort ends a request whose client has left.
func (w *Worker) abort() {
	w.mu.Lock()
	w.abortedRequests++
	w.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// writeRaw writes bytes to the connection without net/http, which would send only one
// response per request. Like a faulty endpoint, it keeps the connection open
// afterwards, until the client closes it.
func (w *Worker) writeRaw(rw http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	go func() {
		// The client closes a connection after an unexpected response on it.
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

func formatRawResponse(id, worker, body string) string {
	contentType := "text/plain"
	if strings.HasPrefix(body, "id: ") {
		contentType = "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\nClementinewell-Request-Id: %s\r\nClementinewell-Response-Signature: signature of %s\r\nContent-Length: %d\r\n\r\n%s",
		id, worker, len(body), body)
}
