package cwstandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// eventsPerStream is the number of events in a complete stream.
const eventsPerStream = 6

// writeStream sends numbered events, starting after the last event that the client has.
func (w *Worker) writeStream(rw http.ResponseWriter, r *http.Request, fault WorkerFault) {
	rw.Header().Set("Content-Type", "text/event-stream")
	if fault == FaultUndelimitedStream {
		rw.Header().Set("Transfer-Encoding", "identity")
	}
	lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id := r.Header.Get(RequestIDHeader)
	defer w.SetReportedRun(id, -1)
	for n := lastID + 1; n <= eventsPerStream; n++ {
		if fault == FaultTruncateSlowStream && n > lastID+1 {
			time.Sleep(SlowStreamInterval)
		}
		if fault == FaultTruncateStream && n == lastID+3 || fault == FaultTruncateSlowStream && n == eventsPerStream {
			_, _ = fmt.Fprintf(rw, "id: %d\nda", n)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == FaultPauseStream && n == lastID+3 {
			time.Sleep(StreamPause)
		}
		if n > lastID+1 {
			w.waitForNextPart(rw)
		}
		_, _ = io.WriteString(rw, w.formatEvent(n))
		_ = http.NewResponseController(rw).Flush()
		w.SetReportedRun(id, n-lastID)
	}
	if fault == FaultLoseStreamEnd {
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) formatEvent(n int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version != "" {
		return fmt.Sprintf("id: %d\nversion: %s\ndata: piece %d\n\n", n, w.version, n)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// buildResponseBody returns the body of a response that is sent in one piece: all events
// if the request expects a stream, or else the text.
func (w *Worker) buildResponseBody(r *http.Request, text string) string {
	if r.Header.Get("Clementinewell-Token-Count") == "" {
		return text
	}
	lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := ""
	for n := lastID + 1; n <= eventsPerStream; n++ {
		events += w.formatEvent(n)
	}
	return events
}
