package cwgate

import (
	"context"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
)

// openSpareConn opens a connection to an exit if none is idle. A stream occupies its connection to
// the end, so that the next request to the exit would wait a round trip between regions for a new
// one.
func (g *Gate) openSpareConn(address string) {
	if g.conns.HasIdle(address) {
		return
	}
	g.mu.Lock()
	isOpening := g.openingSpares[address]
	g.openingSpares[address] = true
	g.mu.Unlock()
	if isOpening {
		return
	}
	g.Go("spare connection", func() {
		defer g.endOpeningSpare(address)
		if err := g.conns.Preconnect(context.Background(), address, 0, cwconn.DialTimeout); err != nil {
			// The next request reports an exit that can't be reached.
			g.Log.Debug("spare connection failed", zap.String("address", address), zap.Error(err))
		}
	})
}

func (g *Gate) endOpeningSpare(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.openingSpares, address)
}
