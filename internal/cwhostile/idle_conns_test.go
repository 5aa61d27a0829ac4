package cwhostile_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// idleConnsPerServer is the number of connections to each server that clients can reach.
	idleConnsPerServer = 1000
	// otherFiles allows for descriptors that the process closes meanwhile.
	otherFiles = 20
	// longHeaderTimeout is longer than the test, so that no idle connection ends by itself.
	longHeaderTimeout = 2 * eventTimeout
)

// TestIdleConnectionsLeaveDescriptors guards against clients that open connections to the directory
// and the ready check and send nothing until the process has no descriptor left. One ordinary request
// must be answered meanwhile.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	g := startGateway(t, buildProgram(t), longHeaderTimeout)
	g.await("an ordinary request is answered before", g.isServing)
	before := g.openFiles()
	var opened, closed atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, address := range []string{directoryAddress, readyAddress} {
		for range idleConnsPerServer {
			c, err := net.DialTimeout("tcp", address, eventTimeout)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(longHeaderTimeout))
			opened.Add(1)
			wg.Go(func() {
				_, _ = c.Read(make([]byte, 1))
				closed.Add(1)
			})
		}
	}
	g.await("all connections are accepted or closed", func() bool {
		return closed.Load()+int64(g.openFiles()-before) >= opened.Load()-otherFiles
	})
	if open := g.openFiles(); open > maxFiles {
		t.Errorf("open descriptors: got %d, allowed are %d", open, maxFiles)
	}
	g.await("an ordinary request is answered", g.isServing)
	t.Logf("open descriptors: %d, %d before; %d connections closed", g.openFiles(), before, closed.Load())
	if peak := g.peakMemoryMB(); peak > memoryMB {
		t.Errorf("peak of the memory: got %d MB, allowed are %d", peak, memoryMB)
	}
}
