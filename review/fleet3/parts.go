package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

func init() { scripts["parts"] = playParts }

const (
	// memoryLimitMB is limits.memory-mb of the settings. The platform kills a process that exceeds it.
	memoryLimitMB = 284
	// endsPerMachine and endedMachines are those from which the day counts 0.
	endsPerMachine, endedMachines = 3, 2
	// largestHead is max-header-bytes of the configuration, less what the other fields of a request take.
	largestHead = 16384 - 700
	// workerCount is the number of workers of the largest region of plcs-shared, 8, and of those that scale_out
	// adds there: a share of 0.3 is 2 at least.
	workerCount = 10
	// callersPerGateway is the number of clients that send at the same time to one gateway.
	callersPerGateway = 24
)

// watchedGateway is a machine whose process the platform watches: it is killed above its memory limit, and
// started again.
type watchedGateway struct {
	mu      sync.Mutex
	gateway *gateway
	ends    int
	peakMB  float64
}

func (w *watchedGateway) current() *gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gateway
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory does what the platform does with a process that exceeds its memory.
func (w *watchedGateway) enforceMemory(record *recorder, restart func() (*gateway, error)) error {
	g := w.current()
	resident := residentMB(g.cmd.Process.Pid)
	w.mu.Lock()
	w.peakMB = max(w.peakMB, resident)
	w.mu.Unlock()
	if resident <= memoryLimitMB {
		return nil
	}
	g.signal(syscall.SIGKILL)
	_ = g.cmd.Wait()
	record.add("killed   %s: %.0f MB resident, limit %d MB", g.ip, resident, memoryLimitMB)
	time.Sleep(500 * time.Millisecond)
	next, err := restart()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateway = next
	w.ends++
	return nil
}

// playParts sends prompts of very many parts of one token each, within the limits of a head, and checks that the
// processes stay within the memory of their machines. Without the trouble the prompts have three parts.
func playParts(record *recorder, isTroubled bool) (bool, error) {
	f, err := newFleet(record, map[string]string{"north-a": "north"})
	if err != nil {
		return false, err
	}
	defer f.close()
	storeAddress := f.ip(250) + ":" + storePort
	if _, err := f.serve(storeAddress, f.store.Handler()); err != nil {
		return false, err
	}
	const host, service = "crew.example", "pool"
	pool := cwstandin.NewPublishedEngineService(service, 2.3)
	pool["max-connections"] = 370
	pool["engine"] = map[string]any{"slots": 64, "kv-capacity": 339156, "stride": 6}
	route := cwstandin.NewPublishedRoute(host, service, "assist", "streaming")
	route["timeout-ms"], route["target-latency-ms"], route["session-affinity"] = 12000, 600, true
	f.store.PutJSON(cwstandin.ConfigKey, cwstandin.NewPublishedConfig(1, []map[string]any{pool}, []map[string]any{route}))
	for n := range workerCount {
		w, err := f.startWorker(101+n, fmt.Sprintf("w-%d", n+1), service, "north-a", 64)
		if err != nil {
			return false, err
		}
		w.isQuiet = true
	}
	seeds := []string{f.ip(1) + ":" + controlPort, f.ip(2) + ":" + controlPort}
	var machines []*watchedGateway
	for n := 1; n <= 2; n++ {
		g, err := f.startGateway(n, "north-a", storeAddress, seeds)
		if err != nil {
			return false, err
		}
		machines = append(machines, &watchedGateway{gateway: g})
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	end := time.Now().Add(100 * time.Second)
	var sent, answered, served, nextPart atomic.Int64
	var isDone atomic.Bool
	var callers sync.WaitGroup
	for _, m := range machines {
		for range callersPerGateway {
			callers.Go(func() {
				for !isDone.Load() && time.Now().Before(end) {
					prefix, tokens := ordinaryPrefix(&nextPart)
					if isTroubled {
						prefix, tokens = longPrefix(&nextPart)
					}
					sent.Add(1)
					a := f.sendWith(m.current(), http.MethodPost, host, "/assist/1", 12*time.Second, map[string]string{
						"Clementinewell-Model": "m", "Clementinewell-Token-Count": fmt.Sprintf("%d,18", tokens), "Clementinewell-Prompt-Prefix": prefix,
					})
					if a.status > 0 {
						answered.Add(1)
					}
					if a.status == http.StatusOK {
						served.Add(1)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	ended := 0
	for time.Now().Before(end) && ended < endedMachines {
		time.Sleep(50 * time.Millisecond)
		ended = 0
		for n, m := range machines {
			restart := func() (*gateway, error) { return f.startGateway(n+1, "north-a", storeAddress, seeds) }
			if err := m.enforceMemory(record, restart); err != nil {
				return false, err
			}
			if m.ends >= endsPerMachine {
				ended++
			}
		}
	}
	isDone.Store(true)
	callers.Wait()
	record.result("%d requests, %d answered, %d served", sent.Load(), answered.Load(), served.Load())
	for _, m := range machines {
		record.result("%s: %.0f MB resident at most, limit %d MB; ended %d times for its memory", m.current().ip, m.peakMB, memoryLimitMB, m.ends)
	}
	return ended < endedMachines, nil
}

// ordinaryPrefix returns the parts of a prompt as the pages show them, and its tokens.
func ordinaryPrefix(next *atomic.Int64) (string, int) {
	return fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", next.Add(1)), 1460
}

// longPrefix returns a prompt of parts of one token each that fills a head, and its tokens.
func longPrefix(next *atomic.Int64) (string, int) {
	var b strings.Builder
	parts := 0
	for ; b.Len() < largestHead-12; parts++ {
		if parts > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", next.Add(1))
	}
	return b.String(), parts
}
