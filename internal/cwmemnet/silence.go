package cwmemnet

import (
	"context"
	"time"
)

// silence is a time in which a host neither sends nor receives anything.
type silence struct {
	acceptsConns bool
	// ended is closed at the end.
	ended chan struct{}
}

// SilenceHost holds all bytes from and to a host until EndSilence, which delivers them. With
// acceptsConns new connections are opened meanwhile, as by a process that is stopped;
// otherwise handshakes are lost and repeated as by TCP.
func (n *Network) SilenceHost(ip string, acceptsConns bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentHosts[ip] = &silence{acceptsConns: acceptsConns, ended: make(chan struct{})}
}

// EndSilence ends the silence of a host.
func (n *Network) EndSilence(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.silentHosts[ip]; s != nil {
		close(s.ended)
		delete(n.silentHosts, ip)
	}
}

// awaitAudible waits until neither host is silent.
func (n *Network) awaitAudible(a, b string) {
	for {
		n.mu.Lock()
		s := n.silentHosts[a]
		if s == nil {
			s = n.silentHosts[b]
		}
		n.mu.Unlock()
		if s == nil {
			return
		}
		<-s.ended
	}
}

// firstHandshakeRepeat is the time after which TCP repeats a handshake. It doubles with each
// repetition.
const firstHandshakeRepeat = time.Second

// awaitHandshake waits until a handshake of a dial reaches its host.
func (n *Network) awaitHandshake(ctx context.Context, from, to string) error {
	for repeat := firstHandshakeRepeat; ; repeat *= 2 {
		n.mu.Lock()
		f, t := n.silentHosts[from], n.silentHosts[to]
		n.mu.Unlock()
		if (f == nil || f.acceptsConns) && (t == nil || t.acceptsConns) {
			return nil
		}
		if err := returnAfter(ctx, repeat, nil); err != nil {
			return err
		}
	}
}
