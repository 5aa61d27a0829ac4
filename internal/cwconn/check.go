package cwconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Check is a request without a body that the peer answers without running anything. A peer answers the
// requests of a connection in their order: once the check is answered, so are all requests before it.
type Check struct {
	// ID identifies the check in its answer.
	ID string
	// Method is the request method, and Head the request line and all header fields, up to and
	// including the empty line.
	Method string
	Head   []byte
	// MatchResponse returns whether a response with this status and these fields answers the check.
	MatchResponse func(status int, field func(name string) string) Match
}

// ErrUnconfirmed means that a call ended because it is not certain which response is its own.
var ErrUnconfirmed = errors.New("received more than one response that names no request")

// needsCheck reports whether a response that names no request may belong to none: on a connection on
// which another response came, a faulty peer may have sent it in addition to that one.
func (c *conn) needsCheck(call *Call, reused bool) bool {
	return call.Check != nil && (reused || c.hasSkippedResponse)
}

// confirm returns the response to the call after one that names no request. That is the refusal if the
// answer to a check comes next, and otherwise the response that names the call.
func (c *conn) confirm(call *Call, refusal *http.Response) (*http.Response, error) {
	var err error
	if c.refusalBody, err = c.budget.ReadAll(refusal.Body, call.Address, refusal.ContentLength, maxSkippedBodyBytes); err != nil {
		return nil, err
	}
	if c.carried.has(call.Check.ID) {
		return nil, ErrUnconfirmed
	}
	c.carried.add(call.Check.ID)
	if _, err = c.Write(call.Check.Head); err != nil {
		return nil, fmt.Errorf("send check after a response that names no request: %w", err)
	}
	for {
		resp, err := c.readFinalHead(call.Address, &http.Request{Method: call.Method})
		if err != nil {
			return nil, fmt.Errorf("await answer to check after a response that names no request: %w", err)
		}
		if call.MatchResponse(resp.StatusCode, resp.Header.Get) == MatchByName {
			c.recordSkipped(call, refusal) // and the answer to the check is still to come
			return resp, nil
		}
		match := call.Check.MatchResponse(resp.StatusCode, resp.Header.Get)
		// Only one that is named can't be followed by another answer to the check.
		c.hasSkippedResponse = c.hasSkippedResponse || match != MatchByName
		if match != MatchNone {
			if _, err = skipBody(call, resp); err != nil {
				return nil, err
			}
			refusal.Body = io.NopCloser(c.refusalBody.NewReader())
			return refusal, nil
		}
		if call.MatchResponse(resp.StatusCode, resp.Header.Get) == MatchByOrder {
			return nil, ErrUnconfirmed
		}
		if err = c.skip(call, resp); err != nil {
			return nil, err
		}
	}
}
