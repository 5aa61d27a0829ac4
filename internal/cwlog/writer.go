package cwlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes bounds what waits to be written.
	maxPendingBytes = 256 << 10
	// flushInterval gathers lines into one write.
	flushInterval = 500 * time.Millisecond
	// closeTimeout bounds the last write.
	closeTimeout = 300 * time.Millisecond
)

// writer gathers lines and writes them in a goroutine of its own.
type writer struct {
	out         io.Writer
	mu          sync.Mutex
	pending     []byte
	spareBuffer []byte
	dropped     atomic.Int64
	wake        chan struct{}
	closing     chan struct{}
	stopped     chan struct{}
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or counts it if the buffer is full. It never waits for out.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.pending)+len(line) > maxPendingBytes
	first := len(w.pending) == 0
	if !full {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
		return len(line), nil
	}
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing: lines are written within the flush interval.
func (w *writer) Sync() error {
	return nil
}

// run writes the buffer while there is something in it; an idle program has no
// timer running.
func (w *writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

func (w *writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spareBuffer[:0]
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","message":"log lines dropped","lines":%d}`+"\n", n)
	}
	// There is no other place to tell of a failure to write the log.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	w.spareBuffer = lines
	w.mu.Unlock()
}

func (w *writer) close() {
	close(w.closing)
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}
