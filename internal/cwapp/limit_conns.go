package cwapp

import (
	"net"
	"net/http"
	"sync/atomic"
)

// limitConns returns a ConnState hook that closes new connections while maxConns are open; 0
// means no limit. The connections are not wrapped, as a limiting listener would do: net/http
// would then not find CloseWrite, and a caller that is still sending would get a reset in
// place of its response.
func limitConns(maxConns int) func(net.Conn, http.ConnState) {
	var openConns atomic.Int64
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if n := openConns.Add(1); maxConns > 0 && n > int64(maxConns) {
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			openConns.Add(-1)
		}
	}
}
