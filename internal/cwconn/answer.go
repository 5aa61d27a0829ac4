package cwconn

import (
	"errors"
	"io"
	"net/http"
)

// Response is an answer whose head has arrived.
type Response struct {
	*http.Response
	// Reused is set if the connection had served another request before.
	Reused bool

	conn     *conn
	released bool
}

// Read reads the body. At its end the connection is free for the next call.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.release()
	}
	return n, err
}

func (a *Response) release() {
	if a.released {
		return
	}
	a.released = true
	a.conn.finish(!a.Response.Close && a.hasDelimitedBody(), a.Header)
}

// hasDelimitedBody reports whether the end of the body is marked, so that what follows on
// the connection can be told from it.
func (a *Response) hasDelimitedBody() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// Close gives the answer up. If its body has not ended, the connection is closed,
// which cancels the request at the peer.
func (a *Response) Close() {
	if a.released {
		return
	}
	a.released = true
	a.conn.finish(false, nil)
}
