package cwscene

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

// Response is a response as a caller received it.
type Response struct {
	// Status, Header and Body are those of the response. Err is set if the request
	// failed or the response is incomplete.
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Caller sends requests from CallerIP, as a client outside the gateway.
type Caller struct {
	// Key is the key of the client account.
	Key string

	client *http.Client
}

// NewCaller returns a caller with CallerKey. It opens a new connection for each
// request.
func (s *Scene) NewCaller() *Caller {
	transport := &http.Transport{DialContext: s.hostNet(CallerIP).DialContext, DisableKeepAlives: true}
	return &Caller{Key: CallerKey, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewClient returns a client of the caller library whose seeds are the instances.
func (s *Scene) NewClient(seeds ...*Instance) *cwclient.Client {
	addresses := make([]string, 0, len(seeds))
	for _, i := range seeds {
		addresses = append(addresses, i.Settings.CallerAddress)
	}
	c := cwclient.NewClient(addresses, CallerKey)
	c.HTTP.Transport = &http.Transport{DialContext: s.hostNet(CallerIP).DialContext, DisableKeepAlives: true}
	return c
}

// Request describes one request.
type Request struct {
	// Method, Path and Body are sent as given. Path begins with /services/ or /v1/.
	Method, Path, Body string
	// Header holds header fields, name and value alternating.
	Header []string
}

// Do sends the request to the instance and reads the whole response.
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
