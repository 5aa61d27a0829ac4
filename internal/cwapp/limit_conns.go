package cwapp

import (
	"net"
	"net/http"
	"sync/atomic"
)

// limitConns closes connections beyond the limit as they come; 0 sets none. The
// connections themselves are not wrapped: that would hide from net/http that they
// can be closed on one side, and a caller that still sends would get a reset in
// place of its answer.
func limitConns(most int) func(net.Conn, http.ConnState) {
	var open atomic.Int64
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if n := open.Add(1); most > 0 && n > int64(most) {
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
}
