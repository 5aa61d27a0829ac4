package cwmemnet

import (
	"net"
	"time"
)

const (
	pumpBytes   = 32 << 10
	pumpBacklog = 1024
)

// conn is a connection between two hosts: two pipes and a pump each way.
type conn struct {
	network  *Network
	from, to string
	// lost is guarded by the network's lock.
	lost bool

	clientEnd, clientInner net.Conn
	serverEnd, serverInner net.Conn
}

func newConn(n *Network, from, to string) *conn {
	c := &conn{network: n, from: from, to: to}
	c.clientEnd, c.clientInner = net.Pipe()
	c.serverEnd, c.serverInner = net.Pipe()
	c.start(c.clientInner, c.serverInner, from, to)
	c.start(c.serverInner, c.clientInner, to, from)
	return c
}

func (c *conn) between(a, b string) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

type packet struct {
	data []byte
	due  time.Time
}

// start moves bytes one way. Reading and writing are apart, so that a delay does
// not slow the sender down.
func (c *conn) start(in, out net.Conn, from, to string) {
	packets := make(chan packet, pumpBacklog)
	go func() {
		defer close(packets)
		for {
			buf := make([]byte, pumpBytes)
			n, err := in.Read(buf)
			delay, lost := c.state(from, to)
			if n > 0 && !lost {
				packets <- packet{data: buf[:n], due: time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for p := range packets {
			time.Sleep(time.Until(p.due))
			if _, lost := c.state(from, to); lost {
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
		if _, lost := c.state(from, to); !lost {
			_ = out.Close()
			_ = in.Close()
		}
	}()
}

func (c *conn) state(from, to string) (time.Duration, bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	l := c.network.link(from, to)
	return l.delay, l.cut || c.lost
}

func (c *conn) closeBoth() {
	for _, end := range []net.Conn{c.clientEnd, c.clientInner, c.serverEnd, c.serverInner} {
		_ = end.Close()
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}
