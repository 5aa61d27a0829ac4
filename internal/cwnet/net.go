// Package cwnet opens the network connections of an instance, and checks and tracks
// them.
package cwnet

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Net opens listeners and connections. Tests replace it with an in-memory network.
type Net interface {
	// Listen returns a listener on a TCP address.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to a TCP address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the network of the operating system. Keep-alive probes detect connections whose remote
// side is unreachable, and so does the TCP user timeout on connections that are dialed. An accepted
// one has none: it would also end while its peer reads slowly and the window stays closed. The time
// limits of the request and its response bound it instead.
type TCP struct {
	dialer       net.Dialer
	listenConfig net.ListenConfig
}

// NewTCP returns the network of the operating system.
func NewTCP() *TCP {
	probes := net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	return &TCP{
		dialer:       net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes, Control: setUserTimeout},
		listenConfig: net.ListenConfig{KeepAliveConfig: probes},
	}
}

// Listen returns a listener on a TCP address.
func (t *TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := t.listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// DialContext connects to a TCP address. It fails after dialTimeout.
func (t *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &dialedConn{TCPConn: tcp}, nil
	}
	return conn, nil
}
