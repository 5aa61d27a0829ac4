package cwstandin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay stands in for one network link. It can delay, cut or silence it. A
// silenced connection stays open and passes nothing on, for good.
type Relay struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	delay    time.Duration
	cut      bool
	silenced map[net.Conn]bool
	conns    map[net.Conn]bool
}

// NewRelay relays connections from the listener to the target address.
func NewRelay(l net.Listener, target string) *Relay {
	return &Relay{target: target, listener: l, silenced: make(map[net.Conn]bool), conns: make(map[net.Conn]bool)}
}

// Serve relays until the listener is closed.
func (r *Relay) Serve() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return err
		}
		go r.relay(conn)
	}
}

// SetDelay sets the one-way delay.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetCut closes all connections and refuses new ones, or lets them in again.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// SilenceOpen makes the connections that are open now pass nothing any more. New
// ones work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.silenced[conn] = true
	}
}

func (r *Relay) relay(conn net.Conn) {
	defer conn.Close()
	if r.isCut() {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	go func() {
		r.pump(conn, out, conn)
		r.closeUnlessSilenced(conn, out)
	}()
	r.pump(out, conn, conn)
	r.closeUnlessSilenced(conn, conn)
}

func (r *Relay) closeUnlessSilenced(key, conn net.Conn) {
	r.mu.Lock()
	silenced := r.silenced[key]
	r.mu.Unlock()
	if !silenced {
		_ = conn.Close()
	}
}

const relayBuffer = 32 << 10

func (r *Relay) pump(from, to, key net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		delay, silenced := r.delay, r.silenced[key]
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if silenced {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}
