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

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	// AttemptHeader carries the attempt's identifier to the endpoint.
	AttemptHeader = "Clementinewell-Attempt"
	// PriorityHeader carries the service's class to the endpoint.
	PriorityHeader = "Clementinewell-Priority"
	// TicketTTLHeader carries the milliseconds for which a ticket is still good.
	TicketTTLHeader = "Clementinewell-Ticket-Left-Millis"
	// StreamsPath precedes an attempt's identifier in the path of its stream.
	StreamsPath = "/streams/"
	// OrdersPath takes orders to an engine.
	OrdersPath = "/orders"

	maxConnsPerEndpoint     = 512
	maxIdleConnsPerEndpoint = 64
	idleConnTimeout         = 30 * time.Second
	probeTimeout            = time.Second
	maxLoadBytes            = 8 << 10
)

// Client sends requests to endpoints.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection for each request, so that a probe doesn't share
	// the fate of the connections in the pool.
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
	pooled := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnsPerEndpoint,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

// noRedirect hands redirects to the caller: following one could leave the places.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Request is one attempt at an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	// Method, Path and Query are those of the caller's request.
	Method, Path, Query string
	// Header holds the fields to send.
	Header http.Header
	// Body is never replayed; Length is -1 if unknown.
	Body   io.Reader
	Length int64
}

// Do sends the attempt. The watch tells afterwards whether any byte left.
func (c *Client) Do(ctx context.Context, r *Request, watch *cwnet.SendTracker) (*http.Response, error) {
	target := "http://" + r.Address + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(watch.Attach(ctx), r.Method, target, nonReplayableBody(r))
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", r.Address, err)
	}
	req.Header = r.Header
	req.ContentLength = r.Length
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", r.Address, withoutURL(err))
	}
	return resp, nil
}

// CloseIdle drops the connections that are not in use: what silenced one may have
// silenced them too.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
}

// withoutURL takes the URL out of an error of net/http: path and query are the
// caller's and belong neither in logs nor in answers.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// nonReplayableBody returns the body in a form that net/http does not replay by itself. It
// replays a request that carries an Idempotency-Key if it has a GetBody or no
// body; the wrapper gives it neither, and still lets it send header and body in
// one write.
func nonReplayableBody(r *Request) io.ReadCloser {
	if r.Length == 0 && r.Header.Get(cwanswer.HeaderTicket) == "" {
		return http.NoBody
	}
	return io.NopCloser(r.Body)
}

// FetchLoad asks an endpoint for its load.
func (c *Client) FetchLoad(ctx context.Context, address string) (Load, error) {
	l := Load{}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body, status, err := fetch(ctx, c.pooled, address, LoadPath)
	if err != nil {
		return l, fmt.Errorf("ask %s for its load: %w", address, err)
	}
	if status != http.StatusOK {
		// A plain service need not know of load reports; it answers, so it lives.
		return Load{Incarnation: unknownIncarnation}, nil
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, fmt.Errorf("ask %s for its load: %w", address, err)
	}
	return l, nil
}

// unknownIncarnation stands for an endpoint that does not tell its lives apart.
const unknownIncarnation = 1

// Probe asks for a cheap read on a new connection. Any answer is a sign of life.
func (c *Client) Probe(ctx context.Context, address, path string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := fetch(ctx, c.unpooled, address, path); err != nil {
		return fmt.Errorf("probe %s: %w", address, err)
	}
	return nil
}

func fetch(ctx context.Context, client *http.Client, address, path string) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, err
	}
	// An empty value keeps the field out: polls are the larger part of control.
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

// Resume opens the stream of an attempt again, behind the event with the number.
func (c *Client) Resume(ctx context.Context, address, attemptID, lastEvent string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StreamsPath+attemptID, nil)
	if err != nil {
		return nil, fmt.Errorf("resume stream at %s: %w", address, err)
	}
	if lastEvent != "" {
		req.Header.Set("Last-Event-ID", lastEvent)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("resume stream at %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("resume stream at %s: status %d", address, resp.StatusCode)
	}
	return resp, nil
}

// Cancel tells an engine to stop an attempt whose caller is gone.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.send(ctx, http.MethodDelete, address, StreamsPath+attemptID, nil)
}

// SendOrder sends an order to an engine. An engine that checks fencing numbers
// refuses an old one with 409, which is an error.
func (c *Client) SendOrder(ctx context.Context, order cwpolicy.EngineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body, err := json.Marshal(OrderMessage{Model: order.Model, Adapters: order.Adapters, FencingNumber: order.FencingNumber})
	if err != nil {
		return fmt.Errorf("order %s: %w", order.Endpoint, err)
	}
	return c.send(ctx, http.MethodPost, order.Endpoint, OrdersPath, body)
}

// OrderMessage is the body of an order.
type OrderMessage struct {
	// Model and Adapters are what the engine should have loaded.
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	// FencingNumber is the fencing number.
	FencingNumber uint64 `json:"fence"`
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, address, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s at %s: status %d", method, path, address, resp.StatusCode)
	}
	return nil
}
