package cwhostile_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

const (
	// crowdSize is the number of hostile connections at the same time, and roundCount how often
	// they come.
	crowdSize  = 64
	roundCount = 3
	// maxHeaderBytes and maxBodyBytes are those of the platform's pages.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	// endlessBytes is what a client sends of something without an end, unless it is stopped before.
	endlessBytes = 4 << 20
)

// scenario is one kind of hostile client.
type scenario struct {
	name    string
	address string
	// start and repeated are the parts of what a client sends; repeated gets the number of the
	// repetition and is sent until bytes are reached. end follows.
	start    string
	repeated func(n int) string
	bytes    int
	end      string
	// isLegal is set if a client inside the limits of the pages may send that.
	isLegal bool
}

const requestStart = "POST /hostile/x HTTP/1.1\r\nHost: " + routeHost + "\r\n" + cwstandin.RequestIDHeader + ": hostile\r\n"

// legalBytes leaves room in a head of the largest size for its begin and its end.
const legalBytes = maxHeaderBytes - len(requestStart) - 64

func constant(text string) func(int) string {
	return func(int) string { return text }
}

// shortLine returns the nth of many different lines of few bytes.
func shortLine(n int) string {
	return fmt.Sprintf("%s:\n", strings.ToLower(fmt.Sprintf("%03X", n)))
}

// shortTrailer returns the nth line of a trailer, which net/http only finds with both line ends.
func shortTrailer(n int) string {
	return strings.TrimSuffix(shortLine(n), "\n") + "\r\n"
}

// oddLine returns lines that are legal but seldom: folded, without a value, repeated, not in the
// usual spelling.
func oddLine(n int) string {
	switch n % 4 {
	case 0:
		return fmt.Sprintf("x%d:\r\n \r\n", n)
	case 1:
		return "cOOKIE:;\n"
	case 2:
		return "connection:a,b,c,d\r\n"
	}
	return fmt.Sprintf("!%d:\t\n", n)
}

func scenarios() []scenario {
	const end = "Content-Length: 0\r\n\r\n"
	return []scenario{
		{name: "manyShortLines", address: callerAddress, start: requestStart, repeated: shortLine, bytes: legalBytes, end: end, isLegal: true},
		{name: "oddLines", address: callerAddress, start: requestStart, repeated: oddLine, bytes: legalBytes, end: end, isLegal: true},
		{name: "headOverLimit", address: callerAddress, start: requestStart, repeated: shortLine, bytes: endlessBytes, end: end},
		{name: "headWithoutEnd", address: callerAddress, start: requestStart, repeated: shortLine, bytes: legalBytes},
		{name: "lineWithoutEnd", address: callerAddress, start: requestStart, repeated: constant("x"), bytes: legalBytes},
		{name: "emptyLinesWithoutEnd", address: callerAddress, repeated: constant("\r\n"), bytes: endlessBytes},
		{name: "trailers", address: callerAddress, start: requestStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: shortTrailer, bytes: 3 << 10, end: "\r\n", isLegal: true},
		{name: "chunkExtensions", address: callerAddress, start: requestStart + "Transfer-Encoding: chunked\r\n\r\n", repeated: constant("1;a=b;c=d;e=f\r\nx\r\n"), bytes: endlessBytes, end: "0\r\n\r\n"},
		{name: "largestBodies", address: callerAddress, start: requestStart + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), repeated: constant(strings.Repeat("x", 1<<10)), bytes: maxBodyBytes, isLegal: true},
		{name: "largestBodiesInChunks", address: callerAddress, start: requestStart + "Transfer-Encoding: chunked\r\n\r\n", repeated: constant("400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"), bytes: maxBodyBytes, end: "0\r\n\r\n", isLegal: true},
		{name: "headWithoutEndToDirectory", address: directoryAddress, start: "GET /v1/resolve HTTP/1.1\r\nHost: x\r\n", repeated: shortLine, bytes: legalBytes},
		{name: "headWithoutEndToReadyCheck", address: readyAddress, start: "GET /v1/ready HTTP/1.1\r\nHost: x\r\n", repeated: shortLine, bytes: legalBytes},
	}
}

// text returns all that one client sends.
func (s *scenario) text() string {
	var b strings.Builder
	b.WriteString(s.start)
	for n := 0; ; n++ {
		part := s.repeated(n)
		if b.Len()-len(s.start)+len(part) > s.bytes {
			break
		}
		b.WriteString(part)
	}
	b.WriteString(s.end)
	return b.String()
}

// TestHostileClients guards against clients that end a process by the memory that it takes for
// their heads and bodies: net/http keeps several hundred bytes for a line of four, and a body is
// read whole. One ordinary request must be answered afterwards.
func TestHostileClients(t *testing.T) {
	program := buildProgram(t)
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			g := startGateway(t, program, shortHeaderTimeout)
			g.await("an ordinary request is answered before", g.isServing)
			before := g.peakMemoryMB()
			text := s.text()
			for range roundCount {
				g.runCrowd(&s, text)
			}
			g.await("an ordinary request is answered", g.isServing)
			t.Logf("peak of the memory: %d MB, %d MB before", g.peakMemoryMB(), before)
			if peak := g.peakMemoryMB(); peak > memoryMB {
				t.Errorf("peak of the memory: got %d MB, allowed are %d", peak, memoryMB)
			}
		})
	}
}

// runCrowd lets all clients of a scenario come at once. The worker holds their requests until
// each of them has either reached it or ended.
func (g *gateway) runCrowd(s *scenario, text string) {
	release := make(chan struct{})
	g.release.Store(&release)
	var ended atomic.Int64
	for range crowdSize {
		go func() {
			defer ended.Add(1)
			playClient(s.address, text)
		}()
	}
	maxOpen := 0
	g.await("all hostile clients are answered, held or cut", func() bool {
		maxOpen = max(maxOpen, g.openFiles())
		return ended.Load()+g.held.Load() >= crowdSize
	})
	close(release)
	g.await("all hostile clients have ended", func() bool { return ended.Load() == crowdSize })
	if maxOpen > maxCrowdFiles {
		g.t.Errorf("open descriptors: got %d, allowed are %d", maxOpen, maxCrowdFiles)
	}
}

// playClient sends the text and returns once the connection has a response or is cut.
func playClient(address, text string) {
	c, err := net.DialTimeout("tcp", address, eventTimeout)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = c.Read(make([]byte, 1))
	}()
	// Fails if the instance has closed the connection.
	_, _ = io.WriteString(c, text)
	<-answered
}
