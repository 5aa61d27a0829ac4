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
	// begun is set once the head is out.
	begun bool
	// status and firstAt describe the answer.
	status  int
	firstAt time.Time
	// count is the number of pieces of a stream, lastAt the time of the latest one and
	// longestPause the longest time between two. The gate's mu guards them.
	count        int
	lastAt       time.Time
	longestPause time.Duration
	// lastEvent is the last whole event of a stream that is out.
	lastEvent string
	// endpoint is the place of the last attempt.
	endpoint string
	flush    func() error
	// hop numbers the pieces of a stream for the instance that relayed the request;
	// nil towards a caller.
	hop *cwevent.HopWriter
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{ResponseWriter: w, flush: http.NewResponseController(w).Flush}
}

// whole writes an answer whose body is in memory.
func (r *responder) whole(a *wholeAnswer) error {
	r.head(a.status, a.header)
	r.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.WriteHeader(a.status)
	_, err := r.Write(a.body)
	return err
}

// begin writes the head of a stream. Without a length, a stream that is cut does
// not look complete.
func (r *responder) begin(status int, header http.Header) {
	if r.begun {
		return
	}
	r.head(status, header)
	r.Header().Del("Content-Length")
	r.WriteHeader(status)
}

func (r *responder) head(status int, header http.Header) {
	r.begun, r.status, r.firstAt = true, status, time.Now()
	own := r.Header()
	for name, values := range cwheader.EndToEnd(header, func(string) bool { return false }) {
		own[name] = values
	}
}

// events writes whole events at once.
func (r *responder) events(p []byte) error {
	if r.hop != nil {
		p = r.hop.Piece(p)
	}
	if _, err := r.Write(p); err != nil {
		return err
	}
	return r.flush()
}

// paced notes that events go out.
func (r *responder) paced(now time.Time) {
	if r.count > 0 {
		r.longestPause = max(r.longestPause, now.Sub(r.lastAt))
	}
	r.count++
	r.lastAt = now
}

// end marks the end of a stream towards another instance.
func (r *responder) end() error {
	if r.hop == nil {
		return nil
	}
	_, err := r.Write(r.hop.End())
	return err
}

// refuse writes an answer of the gateway's own.
func (r *responder) refuse(refusal Refusal) {
	r.begun, r.status = true, refusal.Status
	refusal.write(r.ResponseWriter)
}
