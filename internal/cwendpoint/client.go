package cwendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// AttemptHeader carries the attempt's identifier to the endpoint, which should repeat it in its response.
	// Only then can its response be told from one too many to an earlier attempt.
	AttemptHeader = "Clementinewell-Attempt"
	// PriorityHeader carries the service's priority class to the endpoint.
	PriorityHeader = "Clementinewell-Priority"
	// TicketTTLHeader carries the milliseconds for which a ticket is still valid.
	TicketTTLHeader = "Clementinewell-Ticket-Left-Millis"
	// StreamsPath is the prefix of the path of an attempt's stream. The attempt's
	// identifier follows it.
	StreamsPath = "/streams/"
	// OrdersPath is the path at which an engine receives orders.
	OrdersPath = "/orders"

	maxConnsPerEndpoint     = 512
	maxIdleConnsPerEndpoint = 64
	idleConnTimeout         = 30 * time.Second
	// controlRequestTimeout limits load polls, probes, cancellations and orders.
	controlRequestTimeout = time.Second
	// maxLoadBytes limits how much of the response to a load poll or probe is read.
	maxLoadBytes = 8 << 10
)

var errOtherAttempt = errors.New("response to another attempt")

// Client sends requests to endpoints.
type Client struct {
	pooled *http.Client
	// polls sends load polls on the pooled connections.
	polls *http.Client
	// unpooled opens a new connection for each request, so that a failure of the
	// pooled connections does not affect probes, resumed streams, cancellations and
	// orders.
	unpooled *http.Client
}

// NewClient returns a client that connects through n.
func NewClient(n cwnet.Net) *Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := n.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cwnet.CountingConn{Conn: conn}, nil
	}
	pooled := cwlimit.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnsPerEndpoint,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}, nil, 0)
	unpooled := cwlimit.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}, nil, 0)
	return &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		polls:    &http.Client{Transport: &cwnet.RenewingTransport{IdleCloser: pooled}, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
	}
}

// noRedirect returns redirects to the caller. Following one could lead to a region
// that is not allowed.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Request is one attempt at an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	// Method, Path and Query are those to send. Path must begin with a slash.
	Method, Path, Query string
	// Header holds the fields to send.
	Header http.Header
	// Body is sent at most once. Length is its length in bytes, -1 if unknown.
	Body   io.Reader
	Length int64
}

// Do sends the attempt. The caller must close the body of the response. After an
// error, tracker reports whether it is certain that no byte was sent.
func (c *Client) Do(ctx context.Context, r *Request, tracker *cwnet.SendTracker) (*http.Response, error) {
	target := "http://" + r.Address + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(tracker.Attach(ctx), r.Method, target, nonReplayableBody(r))
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", r.Address, err)
	}
	req.Header = r.Header
	req.ContentLength = r.Length
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", r.Address, cwlimit.ShortenError(withoutURL(err)))
	}
	if named := resp.Header.Get(AttemptHeader); named != "" && named != r.Header.Get(AttemptHeader) {
		_ = resp.Body.Close()
		// A response without a body has made its connection idle, and the own response is still to come.
		c.CloseIdle()
		return nil, fmt.Errorf("read response of %s: %w", r.Address, errOtherAttempt)
	}
	return resp, nil
}

// CloseIdle closes the idle connections. It is called after a connection stalled,
// since the same failure may affect them.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
}

// withoutURL removes the URL from a net/http error. Path and query come from the
// caller and must not appear in logs or responses.
func withoutURL(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}

// nonReplayableBody wraps the body so that net/http does not send a request again after a lost
// response, which it does if the request has GetBody or no body. The wrapped body has no GetBody,
// and net/http still sends header and body in one write.
func nonReplayableBody(r *Request) io.ReadCloser {
	if r.Length == 0 && !isIdempotentToNetHTTP(r) {
		return http.NoBody // a wrapped empty body would be sent in chunks
	}
	return io.NopCloser(r.Body)
}

// isIdempotentToNetHTTP reports whether net/http takes the request for idempotent.
func isIdempotentToNetHTTP(r *Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get(cwanswer.HeaderTicket) != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// FetchLoad fetches the load report of an endpoint. It fails if the endpoint does not
// respond or the report is invalid.
func (c *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	load := Load{}
	ctx, cancel := context.WithTimeout(ctx, controlRequestTimeout)
	defer cancel()
	body, status, err := fetch(ctx, c.polls, address, LoadPath)
	if err != nil {
		return load, fmt.Errorf("fetch load of %s: %w", address, cwlimit.ShortenError(err))
	}
	if status != http.StatusOK {
		// A plain service need not support load reports. Any response means that it is
		// up.
		return Load{Incarnation: unknownIncarnation}, nil
	}
	if err := json.Unmarshal(body, &load); err != nil {
		return load, fmt.Errorf("fetch load of %s: %w", address, cwlimit.ShortenError(err))
	}
	return load, nil
}

// unknownIncarnation is the incarnation of an endpoint that does not report one. It
// is not 0, which stands for an endpoint that has not responded yet.
const unknownIncarnation = 1

// Probe sends a GET request on a new connection. Any response means that the
// endpoint is up.
func (c *Client) Probe(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, controlRequestTimeout)
	defer cancel()
	if _, _, err := fetch(ctx, c.unpooled, address, path); err != nil {
		return fmt.Errorf("probe %s: %w", address, cwlimit.ShortenError(err))
	}
	return nil
}

func fetch(ctx context.Context, client *http.Client, address, path string) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, err
	}
	// An empty value omits the field. Polls are most of the control traffic, so their
	// size matters.
	req.Header.Set("User-Agent", "")
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	if err != nil {
		return nil, 0, err
	}
	return body, resp.StatusCode, nil
}

// Resume reopens the event stream of an attempt after the event with the identifier
// lastEventID, or from the start if lastEventID is empty. A status other than 200 is an
// error.
func (c *Client) Resume(ctx context.Context, address, attemptID, lastEventID string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StreamsPath+attemptID, nil)
	if err != nil {
		return nil, fmt.Errorf("resume stream at %s: %w", address, cwlimit.ShortenError(err))
	}
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("resume stream at %s: %w", address, cwlimit.ShortenError(err))
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("resume stream at %s: status %d", address, resp.StatusCode)
	}
	return resp, nil
}

// Cancel asks an engine to stop an attempt. A status of 400 or above is an error.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, controlRequestTimeout)
	defer cancel()
	return c.send(ctx, http.MethodDelete, address, StreamsPath+attemptID, nil)
}

// SendOrder sends an order to an engine. An engine that checks fencing numbers
// rejects an outdated one with status 409, which is returned as an error.
func (c *Client) SendOrder(ctx context.Context, order cwpolicy.EngineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, controlRequestTimeout)
	defer cancel()
	body, err := json.Marshal(OrderMessage{Model: order.Model, Adapters: order.Adapters, FencingNumber: order.FencingNumber})
	if err != nil {
		return fmt.Errorf("encode order for %s: %w", order.Endpoint, err)
	}
	return c.send(ctx, http.MethodPost, order.Endpoint, OrdersPath, body)
}

// OrderMessage is the body of an order.
type OrderMessage struct {
	// Model and Adapters are what the engine should load.
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	// FencingNumber is the number by which the engine rejects outdated orders.
	FencingNumber uint64 `json:"fence"`
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, cwlimit.ShortenError(err))
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, cwlimit.ShortenError(err))
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s at %s: status %d", method, path, address, resp.StatusCode)
	}
	return nil
}
