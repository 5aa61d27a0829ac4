package cwconn

import (
	"errors"
	"io"
	"net/http"
	"time"
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

const (
	// maxDiscardedBytes and maxDiscardTime limit how much of a body is discarded so that its
	// connection can be used again. A new connection costs about as much.
	maxDiscardedBytes = 64 << 10
	maxDiscardTime    = 100 * time.Millisecond
)

// Discard reads the rest of the body and makes the connection available to the next call. It
// closes the connection if the body is too long or takes too long.
func (r *Response) Discard() {
	_ = r.conn.SetReadDeadline(time.Now().Add(maxDiscardTime))
	r.conn.hasReadDeadline = true
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes))
	r.Close()
}

func (r *Response) release() {
	if r.released {
		return
	}
	r.released = true
	r.conn.finish(!r.Response.Close && r.IsDelimited(), r.Header)
}

// IsDelimited reports whether the end of the body is marked by its length or encoding. Only then
// can bytes of a following response be told from the body, and a complete body from one that
// ends with the peer's process.
func (r *Response) IsDelimited() bool {
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
