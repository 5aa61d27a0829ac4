package cwstandin

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Crash makes a worker end under certain requests.
type Crash struct {
	// Matches reports whether the worker ends under the request with the body.
	Matches func(r *http.Request, body string) bool
	// After is the time from the beginning of the run to the end.
	After time.Duration
	// Prelude is what the worker sends before.
	Prelude CrashPrelude
	// End ends the worker and closes its connections.
	End func()
}

// CrashPrelude is the part of a response that a worker sends before it ends.
type CrashPrelude int

const (
	// PreludeNone sends nothing.
	PreludeNone CrashPrelude = iota
	// PreludeHead sends the head of the response.
	PreludeHead
	// PreludeEvent sends the head and an event.
	PreludeEvent
	// PreludeUndelimitedEvent sends the head and an event of a stream that has neither a length nor
	// chunks.
	PreludeUndelimitedEvent
	// PreludeUndelimited sends the head and an event and a half of a stream that has neither
	// a length nor chunks.
	PreludeUndelimited
)

// SetCrash makes the worker end under certain requests; nil for none.
func (w *Worker) SetCrash(c *Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash = c
}

// crashUnder ends the worker if it ends under the request, and reports whether it does.
func (w *Worker) crashUnder(rw http.ResponseWriter, r *http.Request, body string) bool {
	w.mu.Lock()
	c := w.crash
	w.mu.Unlock()
	if c == nil || !c.Matches(r, body) {
		return false
	}
	if c.Prelude >= PreludeUndelimitedEvent {
		rw.Header().Set("Transfer-Encoding", "identity")
	}
	if c.Prelude >= PreludeHead {
		if r.Header.Get("Clementinewell-Token-Count") != "" {
			rw.Header().Set("Content-Type", "text/event-stream")
		}
		rw.WriteHeader(http.StatusOK)
	}
	if c.Prelude >= PreludeEvent {
		_, _ = io.WriteString(rw, w.formatEvent(1))
	}
	if c.Prelude == PreludeUndelimited {
		_, _ = fmt.Fprint(rw, "id: 2\nda")
	}
	if c.Prelude >= PreludeHead {
		_ = http.NewResponseController(rw).Flush()
	}
	time.Sleep(c.After)
	c.End()
	panic(http.ErrAbortHandler)
}
