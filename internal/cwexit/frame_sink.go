package cwexit

import (
	"net/http"

	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/internal/cwframe"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
)

// frameSink writes an answer as a framed stream.
type frameSink struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	frames    *cwframe.Writer
	attemptID string
}

func newFrameSink(w http.ResponseWriter, attemptID string) *frameSink {
	return &frameSink{w: w, rc: http.NewResponseController(w), frames: cwframe.NewWriter(w), attemptID: attemptID}
}

// Start sends the head of the answer.
func (s *frameSink) Start(status int, header http.Header, served *cwdispatch.ServeResult) error {
	return s.frames.WriteMessage(cwframe.Head, cwpeer.ResponseHead{
		AttemptID: s.attemptID,
		Status:    status,
		Header:    header,
		Instance:  served.Instance,
		Endpoint:  served.Endpoint,
		Region:    served.Region,
	})
}

// Write sends a part of the body.
func (s *frameSink) Write(p []byte) (int, error) {
	return s.frames.Write(p)
}

// Flush sends what is buffered.
func (s *frameSink) Flush() {
	// A connection that is gone shows at the next write.
	_ = s.rc.Flush()
}
