package cwexit

import (
	"net/http"

	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
)

// frameSink writes a response as a framed stream.
type frameSink struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	frames    *cwframe.Writer
	attemptID string
}

func newFrameSink(w http.ResponseWriter, attemptID string) *frameSink {
	return &frameSink{w: w, rc: http.NewResponseController(w), frames: cwframe.NewWriter(w), attemptID: attemptID}
}

// Start sends the head frame of the response.
func (s *frameSink) Start(status int, header http.Header, result *cwdispatch.ServeResult) error {
	return s.frames.WriteMessage(cwframe.Head, cwpeer.ResponseHead{
		AttemptID: s.attemptID,
		Status:    status,
		Header:    header,
		Instance:  result.Instance,
		Endpoint:  result.Endpoint,
		Region:    result.Region,
	})
}

// Write sends a part of the body.
func (s *frameSink) Write(p []byte) (int, error) {
	return s.frames.Write(p)
}

// Flush sends buffered data.
func (s *frameSink) Flush() {
	// A broken connection makes the next write fail.
	_ = s.rc.Flush()
}
