package cwconn

import (
	"errors"
	"io"
	"net/http"
)

// Response is a response whose head has been read.
type Response struct {
	*http.Response
	// Reused is set if the connection served an earlier request.
	Reused bool

	conn     *conn
	released bool
}

// Read reads the body. At the end of the body the connection becomes available to the
// next call.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.release()
	}
	return n, err
}

func (r *Response) release() {
	if r.released {
		return
	}
	r.released = true
	r.conn.finish(!r.Response.Close && r.hasDelimitedBody(), r.Header)
}

// hasDelimitedBody reports whether the end of the body is marked by its length or
// encoding. Only then can bytes of a following response be told from the body.
func (r *Response) hasDelimitedBody() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Close releases the response. If its body has not been read to the end, the connection
// is closed, which cancels the request at the peer.
func (r *Response) Close() {
	if r.released {
		return
	}
	r.released = true
	r.conn.finish(false, nil)
}
