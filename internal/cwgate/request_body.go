package cwgate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwroute"
)

// receiveBody reads the whole body until the request's deadline or the end of the instance. What
// is left of a body that was not read closes the connection, but for one that is too large.
func (g *Gate) receiveBody(_ context.Context, routed *routedRequest) *Refusal {
	if routed.Body == nil || routed.Length == 0 {
		return nil
	}
	control := http.NewResponseController(routed.responder.ResponseWriter)
	// If a deadline can't be set, the connection is closed already.
	_ = control.SetReadDeadline(routed.deadline)
	defer context.AfterFunc(g.ended, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })()
	refusal := routed.readBody(routed.maxBodyBytes(&routed.config.Limits))
	if refusal == nil {
		_ = control.SetReadDeadline(time.Time{})
	} else if refusal.Status != http.StatusRequestEntityTooLarge {
		routed.responder.Header().Set("Connection", "close")
	}
	return refusal
}

// maxBodyBytes returns the limit for the body. The instance that relayed a request has applied
// that of its own configuration.
func (r *routedRequest) maxBodyBytes(limits *cwroute.Limits) int64 {
	switch {
	case r.IsRelayed:
		return max(maxRelayedBodyBytes, int64(limits.BodyBytes))
	case limits.BodyBytes > 0:
		return int64(limits.BodyBytes)
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body, so that further attempts can send it again.
func (r *routedRequest) readBody(maxBytes int64) *Refusal {
	if r.Length > maxBytes {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	body, err := readBounded(r.Body, r.Length, maxBytes, r.bodyClaim)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	case errors.Is(err, errNoBodyMemory):
		refusal := newNotRunRefusal("bodiesInMemory", bodyMemoryRetryAfter)
		return &refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "bodyTimeout"}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Reason: "bodyIncomplete"}
	}
	r.body = body
	return nil
}

var (
	errBodyTooLarge = errors.New("request body exceeds the size limit")
	errNoBodyMemory = errors.New("memory for requests is used up")
)

// readBounded reads length bytes, or all bytes if the length is unknown. maxBytes is checked
// only in the latter case. A body of known length claims its memory before it is read.
func readBounded(r io.Reader, length, maxBytes int64, claim *cwlimit.RequestClaim) ([]byte, error) {
	if length < 0 {
		return readUnknownLength(r, maxBytes, claim)
	}
	if !claim.Resize(length) {
		return nil, errNoBodyMemory
	}
	var body bytes.Buffer
	// ReadFrom needs bytes.MinRead free bytes to detect the end.
	body.Grow(int(min(length, maxBodyPreallocation)) + bytes.MinRead)
	if n, err := io.CopyN(&body, r, length); err != nil {
		return nil, fmt.Errorf("read request body: got %d of %d bytes: %w", n, length, err)
	}
	return body.Bytes(), nil
}

// readUnknownLength reads all bytes. It claims memory as the body grows, also for the copy that
// growing takes.
func readUnknownLength(r io.Reader, maxBytes int64, claim *cwlimit.RequestClaim) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), minBodyBufferBytes), maxBytes+1)
			if !claim.Resize(int64(cap(body)) + size) {
				return nil, errNoBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			// A claim always shrinks.
			_ = claim.Resize(int64(cap(body)))
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("read request body: %w", err)
		}
	}
}

const (
	// defaultMaxBodyBytes is the limit for a body if the configuration sets none.
	defaultMaxBodyBytes = 16 << 20
	// maxRelayedBodyBytes is the limit for a body that another instance relayed, which has
	// applied the limit of its own configuration. A larger one does not fit into memory.
	maxRelayedBodyBytes = 64 << 20
	// maxBodyPreallocation is the size in bytes up to which memory is taken for a body at
	// once, after it was claimed: the largest body of the platform's pages, and what is read of it
	// takes no second buffer. Memory for more is taken as the bytes arrive.
	maxBodyPreallocation = 4 << 20
	// minBodyBufferBytes is the first size of the buffer for a body of unknown length.
	minBodyBufferBytes = 4 << 10
	// bodyMemoryRetryAfter is the time after which callers should retry whose body found no memory:
	// that of the usual request.
	bodyMemoryRetryAfter = time.Second
)
