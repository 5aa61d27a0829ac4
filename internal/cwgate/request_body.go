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
	body, err := readBounded(r.Body, r.Length, maxBytes)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "bodyTimeout"}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Reason: "bodyIncomplete"}
	}
	r.body = body
	return nil
}

var errBodyTooLarge = errors.New("request body exceeds the size limit")

// readBounded reads length bytes, or all bytes if the length is unknown. maxBytes is checked
// only in the latter case. Memory for more than maxBodyPreallocation is taken as the bytes
// arrive, not as they are announced.
func readBounded(r io.Reader, length, maxBytes int64) ([]byte, error) {
	if length > 0 {
		var body bytes.Buffer
		// ReadFrom needs bytes.MinRead free bytes to detect the end.
		body.Grow(int(min(length, maxBodyPreallocation)) + bytes.MinRead)
		if n, err := io.CopyN(&body, r, length); err != nil {
			return nil, fmt.Errorf("read request body: got %d of %d bytes: %w", n, length, err)
		}
		return body.Bytes(), nil
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

const (
	// defaultMaxBodyBytes is the limit for a body if the configuration sets none.
	defaultMaxBodyBytes = 16 << 20
	// maxRelayedBodyBytes is the limit for a body that another instance relayed, which has
	// applied the limit of its own configuration. A larger one does not fit into memory.
	maxRelayedBodyBytes = 64 << 20
	// maxBodyPreallocation is the size in bytes up to which memory is taken for a body at
	// once.
	maxBodyPreallocation = 64 << 10
)
