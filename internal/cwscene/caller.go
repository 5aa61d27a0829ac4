package cwscene

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

// Response is what a caller got.
type Response struct {
	// Status, Header and Body are the answer; Err is set if it did not come whole.
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Caller sends requests from outside.
type Caller struct {
	// Key is the caller's key.
	Key string

	client *http.Client
}

// NewCaller returns a caller with the key of the account without a home. Each of
// its requests has a connection of its own.
func (s *Scene) NewCaller() *Caller {
	transport := &http.Transport{DialContext: s.hostNet(CallerIP).DialContext, DisableKeepAlives: true}
	return &Caller{Key: CallerKey, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewClient returns the caller library, starting from the instances.
func (s *Scene) NewClient(from ...*Instance) *cwclient.Client {
	seed := make([]string, 0, len(from))
	for _, i := range from {
		seed = append(seed, i.Settings.CallerAddress)
	}
	c := cwclient.NewClient(seed, CallerKey)
	c.HTTP.Transport = &http.Transport{DialContext: s.hostNet(CallerIP).DialContext, DisableKeepAlives: true}
	return c
}

// Request describes one request; headers are pairs of name and value.
type Request struct {
	// Method, Path and Body are sent; Path begins with /services/ or /v1/.
	Method, Path, Body string
	// Header are pairs of name and value.
	Header []string
}

// Do sends the request to the instance and reads the whole answer.
func (c *Caller) Do(ctx context.Context, i *Instance, r Request) Response {
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+i.Settings.CallerAddress+r.Path, body)
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for n := 0; n+1 < len(r.Header); n += 2 {
		req.Header.Set(r.Header[n], r.Header[n+1])
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}
