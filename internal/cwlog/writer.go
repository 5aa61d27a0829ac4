package cwlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes limits the total size of the lines buffered for the next write.
	maxPendingBytes = 256 << 10
	// flushInterval is the time after the first buffered line at which the buffer is
	// written.
	flushInterval = 500 * time.Millisecond
	// closeTimeout limits how long close waits for the last write.
	closeTimeout = 300 * time.Millisecond
)

// writer buffers lines and writes them in its own goroutine. Dropped lines are counted;
// the next flush logs their number.
type writer struct {
	out         io.Writer
	mu          sync.Mutex
	pending     []byte
	spareBuffer []byte
	dropped     atomic.Int64
	// wake signals that a line was added to the empty buffer. closing is closed by
	// close, stopped when run returns.
	wake    chan struct{}
	closing chan struct{}
	stopped chan struct{}
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops and counts it if the buffer is full. It never waits
// for out, and it never returns an error.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	isFull := len(w.pending)+len(line) > maxPendingBytes
	isFirst := len(w.pending) == 0
	if !isFull {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	if isFull {
		w.dropped.Add(1)
		return len(line), nil
	}
	if isFirst {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing, because buffered lines are written after flushInterval.
func (w *writer) Sync() error {
	return nil
}

// run flushes the buffer until closing is closed. It starts a timer only after a line
// has arrived, so that an idle program has no timer running.
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
	if dropped := w.dropped.Swap(0); dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","message":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	// A failed write of the log cannot be reported anywhere else.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	w.spareBuffer = lines
	w.mu.Unlock()
}

// close flushes the buffer and stops the goroutine. It waits at most closeTimeout.
func (w *writer) close() {
	close(w.closing)
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}
