package cwmemnet

import (
	"net"
	"time"
)

const (
	copyBufferBytes  = 32 << 10
	maxQueuedPackets = 1024
)

// conn is a connection between two hosts: two pipes and a pump each way.
type conn struct {
	network  *Network
	from, to string
	// isStalled is guarded by the network's lock.
	isStalled bool

	clientEnd, clientInner net.Conn
	serverEnd, serverInner net.Conn
}

func newConn(n *Network, from, to string) *conn {
	c := &conn{network: n, from: from, to: to}
	c.clientEnd, c.clientInner = net.Pipe()
	c.serverEnd, c.serverInner = net.Pipe()
	c.startForwarding(c.clientInner, c.serverInner, from, to)
	c.startForwarding(c.serverInner, c.clientInner, to, from)
	return c
}

func (c *conn) isBetween(a, b string) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

type packet struct {
	data      []byte
	deliverAt time.Time
}

// startForwarding moves bytes one way. Reading and writing are apart, so that a delay does
// not slow the sender down.
func (c *conn) startForwarding(in, out net.Conn, from, to string) {
	packets := make(chan packet, maxQueuedPackets)
	go func() {
		defer close(packets)
		for {
			buf := make([]byte, copyBufferBytes)
			n, err := in.Read(buf)
			delay, lost := c.deliveryState(from, to)
			if n > 0 && !lost {
				packets <- packet{data: buf[:n], deliverAt: time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for p := range packets {
			time.Sleep(time.Until(p.deliverAt))
			if _, lost := c.deliveryState(from, to); lost {
				continue
			}
			if _, err := out.Write(p.data); err != nil {
				break
			}
		}
		for range packets {
			continue
		}
		// The end of a lost connection is lost as well.
		if _, lost := c.deliveryState(from, to); !lost {
			_ = out.Close()
			_ = in.Close()
		}
	}()
}

func (c *conn) deliveryState(from, to string) (time.Duration, bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	l := c.network.findOrAddLink(from, to)
	return l.delay, l.isPartitioned || c.isStalled
}

func (c *conn) closeEnds() {
	for _, end := range []net.Conn{c.clientEnd, c.clientInner, c.serverEnd, c.serverInner} {
		_ = end.Close()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}
