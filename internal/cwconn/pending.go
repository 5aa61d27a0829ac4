package cwconn

import (
	"context"
	"time"
)

// Pending is a call whose context ended after it was sent and before any byte of its response
// arrived. Its connection is still open.
type Pending struct {
	conn   *conn
	call   *Call
	reused bool
}

// Await returns after the head of the response has been read. The error is a *CallError. The end of
// ctx closes the connection. The caller must read the body to its end or close the response.
func (p *Pending) Await(ctx context.Context) (*Response, error) {
	_ = p.conn.SetReadDeadline(time.Time{})
	p.conn.cancelCloseHook = context.AfterFunc(ctx, p.conn.abort)
	isKept := false
	defer func() {
		if !isKept {
			p.Close()
		}
	}()
	response, err := p.conn.readResponse(ctx, p.call, p.reused)
	isKept = err == nil
	return response, err
}

// Close closes the connection, which cancels the request at the peer.
func (p *Pending) Close() {
	p.conn.finish(false, nil)
}
