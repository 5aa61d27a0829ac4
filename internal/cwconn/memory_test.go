package cwconn_test

import (
	"io"
	"runtime"
	"sync"
	"testing"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// smallestInstanceBytes is the memory limit of the smallest instances.
const smallestInstanceBytes = 144 << 20

// heapWatch records the largest heap seen.
type heapWatch struct {
	mu   sync.Mutex
	peak uint64
}

func (h *heapWatch) record() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	h.peak = max(h.peak, m.HeapInuse)
}

// watchedReader records the heap each recordInterval bytes.
type watchedReader struct {
	io.Reader
	heap   *heapWatch
	unseen int
}

const recordInterval = 256 << 10

func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if w.unseen += n; w.unseen >= recordInterval || err != nil {
		w.heap.record()
		w.unseen = 0
	}
	return n, err
}

// TestEndlessResponsesFitInMemory guards against an instance that exceeds its memory limit
// while many endpoints, each within its limits, send responses without an end. The heap
// includes that of the stand-ins.
func TestEndlessResponsesFitInMemory(t *testing.T) {
	const calls = 100
	responses := append(cwstandin.EndlessHeads(),
		&cwstandin.EndlessResponse{Name: "short fields", Start: "HTTP/1.1 200 OK\r\n", Repeated: "a:\r\n"},
		&cwstandin.EndlessResponse{Name: "body", Start: "HTTP/1.1 200 OK\r\n\r\n", Repeated: "abcdefgh"})
	for _, response := range responses {
		t.Run(response.Name, func(t *testing.T) {
			n := &countingNet{Net: cwnet.NewTCP()}
			address := servePeer(t, n, response)
			pool, budget := cwconn.NewPool(n), cwlimit.NewBudget(smallestInstanceBytes)
			runtime.GC()
			var heap heapWatch
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					resp, err := pool.Do(t.Context(), newCall(address))
					heap.record()
					if err != nil {
						return
					}
					defer resp.Close()
					if body, err := budget.ReadAll(&watchedReader{Reader: resp, heap: &heap}, address, resp.ContentLength, cwlimit.MaxResponseBytes); err == nil {
						t.Error("read a body without an end")
						body.Release()
					}
				})
			}
			wg.Wait()
			t.Logf("peak heap %d MB, read %d KB for each call", heap.peak>>20, n.read.Load()>>10/calls)
			if heap.peak > smallestInstanceBytes {
				t.Errorf("peak heap of %d MB exceeds the memory limit", heap.peak>>20)
			}
			if budget.UsedBytes() != 0 {
				t.Error("budget is not free again")
			}
		})
	}
}
