package cwmemnet

import (
	"net"
	"time"
)

const (
	copyBufferBytes  = 32 << 10
	maxQueuedPackets = 1024
)

// conn is a connection between two hosts, opened by from. It consists of one pipe per host and
// forwards bytes between the inner ends of the pipes in both directions.
type conn struct {
	network  *Network
	from, to string
	// isStalled is true if the connection drops all data. It is guarded by
	// network.mu.
	isStalled bool

	clientEnd   *connEnd
	clientInner net.Conn
	serverEnd   *connEnd
	serverInner net.Conn
}

func newConn(n *Network, from, to string) *conn {
	c := &conn{network: n, from: from, to: to}
	clientPipe, clientInner := net.Pipe()
	serverPipe, serverInner := net.Pipe()
	c.clientEnd, c.clientInner = newConnEnd(clientPipe, from, to), clientInner
	c.serverEnd, c.serverInner = newConnEnd(serverPipe, to, from), serverInner
	c.startForwarding(c.clientInner, c.serverInner, c.serverEnd, from, to)
	c.startForwarding(c.serverInner, c.clientInner, c.clientEnd, to, from)
	return c
}

func (c *conn) isBetween(a, b string) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

// closeEndsOf closes the ends at a host.
func (c *conn) closeEndsOf(ip string) {
	if c.from == ip {
		_ = c.clientEnd.Close()
	}
	if c.to == ip {
		_ = c.serverEnd.Close()
	}
}

// packet is a part of what is sent in one direction. One without data is the close of the connection.
type packet struct {
	data      []byte
	deliverAt time.Time
}

// startForwarding starts to copy bytes in one direction. It reads and writes in separate
// goroutines, so that a delay does not block the sender until maxQueuedPackets are in
// transit. The receiver is the end at which the bytes arrive.
func (c *conn) startForwarding(in, out net.Conn, receiver *connEnd, from, to string) {
	packets := make(chan packet, maxQueuedPackets)
	go func() {
		defer close(packets)
		for {
			buf := make([]byte, copyBufferBytes)
			n, err := in.Read(buf)
			delay, dropped := c.deliveryState(from, to)
			if n > 0 && !dropped {
				packets <- packet{data: buf[:n], deliverAt: time.Now().Add(delay)}
			}
			if err != nil {
				if !dropped {
					packets <- packet{deliverAt: time.Now().Add(delay)} // the close
				}
				return
			}
		}
	}()
	go func() {
		for p := range packets {
			time.Sleep(time.Until(p.deliverAt))
			c.network.awaitAudible(from, to)
			if _, dropped := c.deliveryState(from, to); dropped {
				continue
			}
			if len(p.data) == 0 {
				break
			}
			if _, err := out.Write(p.data); err != nil {
				break
			}
		}
		for range packets {
			continue
		}
		c.network.awaitAudible(from, to)
		// A connection that drops data does not deliver its close either.
		if _, dropped := c.deliveryState(from, to); !dropped {
			receiver.hasPeerClosed.Store(true)
			_ = out.Close()
			_ = in.Close()
		}
	}()
}

// deliveryState returns the delay of one direction and whether its data is dropped.
func (c *conn) deliveryState(from, to string) (time.Duration, bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	link := c.network.findOrAddLink(from, to)
	return link.delay, link.isPartitioned || c.isStalled
}

func (c *conn) closeEnds() {
	for _, end := range []net.Conn{c.clientEnd, c.clientInner, c.serverEnd, c.serverInner} {
		_ = end.Close()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}
