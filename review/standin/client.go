package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// client is a client of the platform: it asks the directory where to connect, keeps the response for
// its TTL and picks one of the addresses for each request.
type client struct {
	fleet *fleet
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func newClient(f *fleet) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	return &client{fleet: f, http: &http.Client{Transport: transport}}
}

// pick returns the address of a gateway, empty if the directory names none.
func (c *client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// resolve asks up to three directories. The caller holds mu.
func (c *client) resolve() {
	query := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
	for _, n := range rand.Perm(len(c.fleet.gateways))[:min(3, len(c.fleet.gateways))] {
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl-s"`
		}
		if err := c.getJSON("http://"+c.fleet.gateways[n].ip+":8143/v1/resolve?"+query.Encode(), &answer); err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses = answer.Addresses
		c.until = time.Now().Add(time.Duration(min(answer.TTL, 5) * float64(time.Second)))
		return
	}
	c.until = time.Now().Add(time.Second)
}

func (c *client) getJSON(address string, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}

// request is what a client sends.
type request struct {
	method, path string
	deadline     time.Duration
	body         io.Reader
	length       int64
	header       map[string]string
}

// answer is what a client got for one attempt.
type answer struct {
	id         string
	gateway    *gateway
	status     int
	header     http.Header
	body       []byte
	err        error
	retryAfter time.Duration
}

var attempts atomic.Int64

// attempt sends a request once, to the gateway that the directory names. The identifier names the
// gateway too, so that a worker knows which machine has sent it a request.
func (c *client) attempt(r *request) answer {
	address := c.pick()
	if address == "" {
		return answer{err: fmt.Errorf("the directory names no address")}
	}
	g := c.fleet.gatewayOf(address)
	a := answer{id: fmt.Sprintf("g%d-%06x", g.index, attempts.Add(1)), gateway: g}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, r.body)
	if err != nil {
		a.err = err
		return a
	}
	if r.length > 0 {
		req.ContentLength = r.length
	}
	req.Host = host
	req.Header.Set("Clementinewell-Request-Id", a.id)
	req.Header.Set("Clementinewell-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// hasNotRun reports whether a status promises that the request was not run and never will be.
func hasNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// do sends a request without a body, and once more after a promise that it has not run, at the time
// that the answer states or after a third of the time that is left.
func (c *client) do(r *request) answer {
	sentAt := time.Now()
	a := c.attempt(r)
	if a.err != nil || !hasNotRun(a.status) {
		return a
	}
	left := r.deadline - time.Since(sentAt)
	time.Sleep(min(a.retryAfter, left/3))
	again := *r
	again.deadline = r.deadline - time.Since(sentAt)
	return c.attempt(&again)
}
