package cwlimit

import (
	"net/http"
)

// Transport limits the responses that an http.Transport returns, and the texts of its errors. It returns
// only responses with the status of a final one.
type Transport struct {
	base         *http.Transport
	budget       *Budget
	maxBodyBytes int64
}

// NewTransport returns a transport that sends requests with base and limits the heads of
// responses to MaxHeadBytes. Bodies are limited to maxBodyBytes and count in the budget until
// they are closed; with a maxBodyBytes of 0 they have no limit.
func NewTransport(base *http.Transport, budget *Budget, maxBodyBytes int64) *Transport {
	// The limit covers interim (1xx) heads too.
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base: base, budget: budget, maxBodyBytes: maxBodyBytes}
}

// RoundTrip implements http.RoundTripper. Reading more of the body than allowed returns an
// *Error.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, ShortenError(err)
	}
	if err := CheckStatus(req.URL.Host, resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		// A response without a body has made its connection idle, and what follows on it is uncertain.
		t.base.CloseIdleConnections()
		return nil, err
	}
	if t.maxBodyBytes == 0 {
		return resp, nil
	}
	if resp.ContentLength > t.maxBodyBytes {
		_ = resp.Body.Close()
		return nil, &Error{Step: "read response", Peer: req.URL.Host, LimitBytes: t.maxBodyBytes}
	}
	resp.Body = newLimitedBody(resp.Body, t.budget, req.URL.Host, t.maxBodyBytes)
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
