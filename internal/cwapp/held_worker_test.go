package cwapp_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// heldWorker is an endpoint that serves every request, and holds one as its hold says.
type heldWorker struct {
	*hold
	id string
}

// ServeHTTP serves a request: with numbered events if it states token counts.
func (w *heldWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	if r.Header.Get("Clementinewell-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	point := w.take()
	if point == holdRejection {
		w.wait(r)
		rw.Header().Set("Clementinewell-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.runs.Add(1)
	if point == holdHead {
		w.wait(r)
	}
	pieces := heldWorkerPieces(r)
	rw.Header().Set("Clementinewell-Request-Id", r.Header.Get(cwstandin.RequestIDHeader))
	rw.Header().Set("Clementinewell-Response-Signature", "signature of "+w.id)
	if isPrompt(r) {
		rw.Header().Set("Content-Type", "text/event-stream")
	} else {
		rw.Header().Set("Content-Length", strconv.Itoa(len(strings.Join(pieces, ""))))
	}
	for n, piece := range pieces {
		if n == len(pieces)/2 && (point == holdBody || point == holdBreak) {
			w.wait(r)
			if point == holdBreak {
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = io.WriteString(rw, piece)
		_ = http.NewResponseController(rw).Flush()
	}
}

// heldWorkerPieces returns the parts of a response: the events after the last one that the
// caller has, or a text.
func heldWorkerPieces(r *http.Request) []string {
	if !isPrompt(r) {
		return []string{"first half, ", "second half"}
	}
	lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var pieces []string
	for n := lastID + 1; n <= 6; n++ {
		pieces = append(pieces, fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n))
	}
	return pieces
}

func isPrompt(r *http.Request) bool {
	return r.Header.Get("Clementinewell-Token-Count") != ""
}
