package cwsoak_test

import (
	"net/http"
	"time"
)

// pacedWriter pauses before each write of a response: between its head and its body, and
// between two events.
type pacedWriter struct {
	http.ResponseWriter
	request *http.Request
	pause   time.Duration
}

func (w *pacedWriter) Write(data []byte) (int, error) {
	controller := http.NewResponseController(w.ResponseWriter)
	// A client that has left ends the pause, and the write then fails.
	_ = controller.Flush()
	select {
	case <-time.After(w.pause):
	case <-w.request.Context().Done():
	}
	n, err := w.ResponseWriter.Write(data)
	_ = controller.Flush()
	return n, err
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
