package cwserver

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// headByteCost is the memory in bytes that a byte of a head takes: in the buffers of net/http,
	// in the framer, whose buffer doubles, and in the strings of the fields.
	headByteCost = 4
	// headLineCost is the memory in bytes that a line of a head takes in addition: an entry in the
	// map of the fields and in the copy that is forwarded, with its values and its canonical name.
	// 3,200 lines of five bytes were measured at 235 bytes each, with what the garbage collector
	// leaves.
	headLineCost = 256
)

// costlyHeadResponse states that a request was not run because its head found no memory.
const costlyHeadResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 14\r\nRetry-After: " +
	excessRetryAfterSeconds + "\r\nConnection: close\r\n\r\nheadsInMemory\n"

// claimHead claims the memory for further bytes of a head. The caller holds mu.
func (c *conn) claimHead(p []byte) {
	if c.state == http.StateActive {
		// These are bytes of a body.
		return
	}
	c.headCost += int64(len(p))*headByteCost + int64(bytes.Count(p, []byte("\n")))*headLineCost
	c.isHeadRefused = c.isHeadRefused || !c.headClaim.Resize(c.headCost)
}

// refuseCostlyHead responds to a request whose head finds no memory, and reports whether there
// is one.
func (c *conn) refuseCostlyHead() bool {
	c.mu.Lock()
	isRefused := c.isHeadRefused
	fields := []zap.Field{
		zap.String("server", c.server.name), zap.Stringer("remote", c.RemoteAddr()), zap.Int("bytes", c.requestBytes),
		zap.Int("responses", c.responseCount), zap.Int64("cost", c.headCost),
	}
	if isRefused {
		c.isRefused, c.hasResponded, c.lingers = true, true, true
		c.framer.head = nil
		c.headClaim.Release()
	}
	c.mu.Unlock()
	if !isRefused {
		return false
	}
	c.server.countRefusedHead()
	c.server.Log.Info("head refused for lack of memory", fields...)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	// The peer may be gone; the connection is closed next.
	_, _ = io.WriteString(c.Conn, costlyHeadResponse)
	return true
}

// claimParsedHead claims the memory of a head that was read together with the end of a request
// whose end the framer can't find. It returns false if there is none.
func (c *conn) claimParsedHead(header http.Header) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.framer.isOpaque {
		return true
	}
	cost := int64(0)
	for name, values := range header {
		cost += int64(len(values)) * (int64(len(name))*headByteCost + headLineCost)
		for _, value := range values {
			cost += int64(len(value)) * headByteCost
		}
	}
	c.headCost = max(c.headCost, cost)
	return c.headClaim.Resize(c.headCost)
}

// releaseHead gives the memory of a head back. The caller holds mu.
func (c *conn) releaseHead() {
	c.headCost = 0
	c.headClaim.Release()
}

// refuseParsedHead responds that the request was not run because its head finds no memory.
func (s *Server) refuseParsedHead(w http.ResponseWriter, requestID string) {
	s.countRefusedHead()
	s.Log.Info("head refused for lack of memory", zap.String("server", s.name), zap.String("request", requestID))
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", excessRetryAfterSeconds)
	http.Error(w, "headsInMemory", http.StatusServiceUnavailable)
}

func (s *Server) countRefusedHead() {
	s.Metrics.Tagged(map[string]string{"server": s.name}).Counter("heads_refused").Inc(1)
}
