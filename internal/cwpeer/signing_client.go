package cwpeer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwproto"
)

// maxCallBytes is the maximum size of the body of a call. A handover of
// cwpolicy.MaxTicketUses uses of tickets fits.
const maxCallBytes = 4 << 20

// signingClient is the HTTP client of the generated client. It signs each call.
type signingClient struct {
	auth   *Auth
	client *http.Client
}

// Do signs and sends the request. It truncates a body above maxCallBytes.
func (s *signingClient) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxCallBytes))
	if err != nil {
		return nil, fmt.Errorf("sign call to %s: %w", req.URL.Host, err)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set(authHeader, s.auth.Sign(req.URL.Path, body, time.Now()))
	return s.client.Do(req)
}

// verifyingHandler returns a handler that verifies the signature of each call before it
// passes the call to the generated server.
func verifyingHandler(auth *Auth, next cwproto.TwirpServer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err != nil {
			http.Error(w, "call is too large", http.StatusRequestEntityTooLarge)
			return
		}
		if err := auth.Verify(r.Header.Get(authHeader), r.URL.Path, body, time.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
