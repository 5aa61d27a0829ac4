package cwconn_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwmemnet"
)

// distinctFields returns head fields of the shortest form, each with a name of its own. They take
// the most memory for their length.
func distinctFields(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// TestPausedResponsesFitInMemory guards against an instance that exceeds its memory limit because
// faulty endpoints send as much as one response may take and then pause: what is kept of each is
// within its limits, but not that of all together.
func TestPausedResponsesFitInMemory(t *testing.T) {
	// maxLiveBytes leaves as much again to the garbage collector.
	const maxLiveBytes = smallestInstanceBytes / 2
	okHead := "HTTP/1.1 200 OK\r\n"
	refusal := fmt.Sprintf("Content-Length: %d\r\n\r\n", 255<<10) + strings.Repeat("a", 255<<10)
	standIns, conns := livePaused(t, okHead)
	for _, sc := range []struct{ name, start string }{
		{"long field", okHead + "X-Long: " + strings.Repeat("a", cwlimit.MaxHeadBytes-1<<10)},
		{"short fields", okHead + distinctFields(cwlimit.MaxHeadBytes-1<<10)},
		{"short fields, 4 KB", okHead + distinctFields(4<<10)},
		{"whole head of short fields", okHead + distinctFields(cwlimit.MaxHeadBytes-1<<10) + "\r\n"},
		{"short fields after another response", otherAnswer + okHead + distinctFields(4<<10)},
		{"refusal that names no request", otherAnswer + "HTTP/1.1 503 Service Unavailable\r\n" + refusal},
		{"head of a refusal that names no request", otherAnswer + "HTTP/1.1 503 Service Unavailable\r\n" + distinctFields(cwlimit.MaxHeadBytes-1<<10) + "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(sc.name, func(t *testing.T) {
			live, open := livePaused(t, sc.start)
			live -= standIns * open / conns
			t.Logf("live heap %d MB, %d of %d calls go on", live>>20, open, conns)
			if live > maxLiveBytes {
				t.Errorf("live heap of %d MB exceeds %d MB", live>>20, maxLiveBytes>>20)
			}
		})
	}
}

// livePaused returns the heap that is live, also of the stand-ins, while all responses have paused,
// and the number of calls that go on.
func livePaused(t *testing.T, start string) (live, open int64) {
	const (
		calls   = 500
		address = "10.0.0.1:80"
	)
	synctest.Test(t, func(t *testing.T) {
		n := cwmemnet.NewNetwork()
		defer n.Close()
		l, err := n.Host("10.0.0.1").Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		go servePaused(l, start)
		pool := cwconn.NewPool(n.Host("10.0.0.2"))
		pool.Budget = cwlimit.NewBudget(smallestInstanceBytes)
		var wg sync.WaitGroup
		var responses sync.Map
		var failed atomic.Int64
		before := liveBytes()
		for i := range calls {
			wg.Go(func() {
				resp, err := pool.Do(t.Context(), newCheckedCall(address))
				if err != nil {
					failed.Add(1)
					return
				}
				responses.Store(i, resp)
			})
		}
		synctest.Wait()
		live, open = liveBytes()-before, calls-failed.Load()
		n.KillHost("10.0.0.1")
		wg.Wait()
		responses.Range(func(_, resp any) bool {
			resp.(*cwconn.Response).Close()
			return true
		})
		if used := pool.Budget.UsedBytes(); used != 0 {
			t.Errorf("%d bytes of the budget are not free again", used)
		}
	})
	return live, open
}

// servePaused sends the start of a response on each connection, and then nothing more.
func servePaused(l net.Listener, start string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, start)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
