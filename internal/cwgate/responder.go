package cwgate

import (
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwevent"
	"github.com/clementinewell/clementinewell/internal/cwheader"
)

// responder writes the response to the caller.
type responder struct {
	http.ResponseWriter
	// hasBegun is set right before the head is written.
	hasBegun bool
	// status is the status of the response, and firstAt when its head was written. firstAt
	// is zero for refusals.
	status  int
	firstAt time.Time
	// eventCount is the number of chunks of events in a stream, lastEventAt the time of the
	// latest one and longestPause the longest time between two. The gate's mu guards them.
	eventCount   int
	lastEventAt  time.Time
	longestPause time.Duration
	// lastEventID identifies the last whole event of a stream that was forwarded.
	lastEventID string
	// place is the endpoint or domain of the last attempt.
	place string
	flush func() error
	// relay numbers the chunks of a stream for the instance that relayed the request. It
	// is nil if the request came from a caller.
	relay *cwevent.RelayWriter
	// sends counts the attempts that may have run.
	sends sendLedger
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{ResponseWriter: w, flush: http.NewResponseController(w).Flush}
}

// writeBuffered writes a response that is in memory.
func (r *responder) writeBuffered(a *bufferedResponse) error {
	r.prepareHead(a.status, a.header)
	r.Header().Set("Content-Length", strconv.FormatInt(a.body.Len(), 10))
	r.WriteHeader(a.status)
	_, err := a.body.WriteTo(r)
	return err
}

// beginStream writes the head of a stream, unless it has been written. The head has no
// length, so that the caller can tell a truncated stream from a complete one.
func (r *responder) beginStream(status int, header http.Header) {
	if r.hasBegun {
		return
	}
	r.prepareHead(status, header)
	r.Header().Del("Content-Length")
	r.WriteHeader(status)
}

// prepareHead sets the header fields of the response from those of the endpoint's response,
// and records its status and time.
func (r *responder) prepareHead(status int, header http.Header) {
	r.hasBegun, r.status, r.firstAt = true, status, time.Now()
	target := r.Header()
	for name, values := range cwheader.EndToEnd(header, func(string) bool { return false }) {
		target[name] = values
	}
}

// writeEvents writes and flushes a chunk of whole events.
func (r *responder) writeEvents(p []byte) error {
	if r.relay != nil {
		p = r.relay.EncodeChunk(p)
	}
	if _, err := r.Write(p); err != nil {
		return err
	}
	return r.flush()
}

// recordEvent counts a chunk of events and updates longestPause.
func (r *responder) recordEvent(now time.Time) {
	if r.eventCount > 0 {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.eventCount++
	r.lastEventAt = now
}

// endStream writes the end marker of a stream, if the request was relayed.
func (r *responder) endStream() error {
	if r.relay == nil {
		return nil
	}
	_, err := r.Write(r.relay.EncodeEnd())
	return err
}
