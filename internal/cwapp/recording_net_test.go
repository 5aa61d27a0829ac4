package cwapp_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"

	"github.com/clementinewell/clementinewell/internal/cwnet"
)

// sentBytes collects what connections send.
type sentBytes struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// String returns all bytes so far.
func (s *sentBytes) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// recordingNet is a network that records what its instance sends to endpoints and, of requests of
// callers, to other instances. What instances exchange on their peer interface is not recorded: the
// configuration is part of it.
type recordingNet struct {
	cwnet.Net
	sent *sentBytes
}

func (n recordingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Net.DialContext(ctx, network, address)
	if err != nil || !strings.HasSuffix(address, ":8005") && !strings.HasSuffix(address, ":8010") {
		return c, err
	}
	return recordingConn{Conn: c, sent: n.sent}, nil
}

type recordingConn struct {
	net.Conn
	sent *sentBytes
}

func (c recordingConn) Write(p []byte) (int, error) {
	c.sent.mu.Lock()
	c.sent.buffer.Write(p)
	c.sent.mu.Unlock()
	return c.Conn.Write(p)
}
