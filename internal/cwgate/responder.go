package cwgate

import (
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwheader"
)

// responder writes the one answer to a caller.
type responder struct {
	http.ResponseWriter
	// hasBegun is set once the head is out.
	hasBegun bool
	// status and firstAt describe the answer.
	status  int
	firstAt time.Time
	// eventCount is the number of pieces of a stream, lastAt the time of the latest one and
	// longestPause the longest time between two. The gate's mu guards them.
	eventCount   int
	lastEventAt  time.Time
	longestPause time.Duration
	// lastEventID is the last whole event of a stream that is out.
	lastEventID string
	// place is the place of the last attempt.
	place string
	flush func() error
	// relay numbers the pieces of a stream for the instance that relayed the request;
	// nil towards a caller.
	relay *cwevent.RelayWriter
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{ResponseWriter: w, flush: http.NewResponseController(w).Flush}
}

// writeBuffered writes an answer whose body is in memory.
func (r *responder) writeBuffered(a *bufferedResponse) error {
	r.prepareHead(a.status, a.header)
	r.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.WriteHeader(a.status)
	_, err := r.Write(a.body)
	return err
}

// beginStream writes the head of a stream. Without a length, a stream that is cut does
// not look complete.
func (r *responder) beginStream(status int, header http.Header) {
	if r.hasBegun {
		return
	}
	r.prepareHead(status, header)
	r.Header().Del("Content-Length")
	r.WriteHeader(status)
}

func (r *responder) prepareHead(status int, header http.Header) {
	r.hasBegun, r.status, r.firstAt = true, status, time.Now()
	own := r.Header()
	for name, values := range cwheader.EndToEnd(header, func(string) bool { return false }) {
		own[name] = values
	}
}

// writeEvents writes whole events at once.
func (r *responder) writeEvents(p []byte) error {
	if r.relay != nil {
		p = r.relay.EncodeChunk(p)
	}
	if _, err := r.Write(p); err != nil {
		return err
	}
	return r.flush()
}

// recordEvent notes that events go out.
func (r *responder) recordEvent(now time.Time) {
	if r.eventCount > 0 {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.eventCount++
	r.lastEventAt = now
}

// endStream marks the end of a stream towards another instance.
func (r *responder) endStream() error {
	if r.relay == nil {
		return nil
	}
	_, err := r.Write(r.relay.EncodeEnd())
	return err
}

// writeRefusal writes an answer of the gateway's own.
func (r *responder) writeRefusal(refusal Refusal) {
	r.hasBegun, r.status = true, refusal.Status
	refusal.write(r.ResponseWriter)
}
