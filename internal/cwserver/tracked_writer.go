package cwserver

import "net/http"

// trackedWriter is a response that records whether it has begun.
type trackedWriter struct {
	http.ResponseWriter
	hasBegun bool
}

// WriteHeader begins the response, unless the status is that of an interim one.
func (w *trackedWriter) WriteHeader(status int) {
	w.hasBegun = w.hasBegun || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.hasBegun = true
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written; http.ResponseController calls it.
func (w *trackedWriter) FlushError() error {
	w.hasBegun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush sends what was written. An error means that the connection is closed already.
func (w *trackedWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
