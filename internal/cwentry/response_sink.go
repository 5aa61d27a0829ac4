package cwentry

import (
	"net/http"

	"github.com/clementinewell/clementinewell/internal/cwdispatch"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// responseSink writes a response to the caller.
type responseSink struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func newResponseSink(w http.ResponseWriter) *responseSink {
	return &responseSink{w: w, rc: http.NewResponseController(w)}
}

// Start sends status and header.
func (s *responseSink) Start(status int, header http.Header, result *cwdispatch.ServeResult) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(cwanswer.HeaderOutcome, string(cwanswer.Ran))
	h.Set(cwanswer.HeaderEndpoint, result.Endpoint)
	h.Set(cwanswer.HeaderRegion, result.Region)
	s.w.WriteHeader(status)
	return nil
}

// Write sends a part of the body.
func (s *responseSink) Write(p []byte) (int, error) {
	return s.w.Write(p)
}

// Flush sends buffered data.
func (s *responseSink) Flush() {
	// A broken connection makes the next write fail.
	_ = s.rc.Flush()
}
