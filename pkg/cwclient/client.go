package cwclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

const (
	maxAttempts         = 4
	instanceListTimeout = 2 * time.Second
	// maxResponseBytes limits the problems and lists of instances that are read.
	maxResponseBytes = 1 << 20
	// problemListTTL is the time for which a list of instances from a problem is used.
	problemListTTL = 5 * time.Second
)

// Client calls services through the gateway. It is safe for concurrent use.
type Client struct {
	// HTTP sends the requests. It must not follow redirects.
	HTTP *http.Client

	key           string
	seedAddresses []string

	mu            sync.Mutex
	instanceLists map[string]instanceList
	lastFailedAt  map[string]time.Time
}

type instanceList struct {
	instances []cwanswer.Instance
	expiresAt time.Time
}

// suspicionDuration is the time for which an instance is used only as a last resort
// after a failed connection.
const suspicionDuration = 5 * time.Second

// NewClient returns a client that authenticates with the caller's key. It fetches the
// first list of instances from seedAddresses (host:port), such as the instances in the
// platform's directory. At least one seed address is required.
func NewClient(seedAddresses []string, key string) *Client {
	return &Client{
		HTTP: &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		key:  key, seedAddresses: seedAddresses,
		instanceLists: make(map[string]instanceList),
		lastFailedAt:  make(map[string]time.Time),
	}
}

// Call sends the request and returns the response, whose body the caller must close.
//
// If the gateway refuses the request or fails, the error is a *cwanswer.Problem. Other
// errors are connection failures, invalid requests and unreadable problems. If ctx ends
// first, the error wraps that of ctx.
//
// A request is sent up to 4 times in total. After a Problem it is retried only if the
// outcome is cwanswer.NotRun, or if the gateway refused it and it carries a ticket, which
// prevents a second run. After a connection failure it is retried at another instance only
// if the method is GET or HEAD, or if the request carries a ticket.
func (c *Client) Call(ctx context.Context, r Request) (*http.Response, error) {
	var lastErr error
	var triedAddresses []string
	for range maxAttempts {
		address := c.pickAddress(ctx, r.Service, triedAddresses)
		resp, err := c.sendAttempt(ctx, address, &r)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		triedAddresses = append(triedAddresses, address)
		delay, shouldRetry := c.decideRetry(address, &r, err)
		if !shouldRetry {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(lastErr, ctx.Err())
		case <-time.After(delay):
		}
	}
	return nil, lastErr
}

// decideRetry returns the delay before a retry, and whether the request may be retried.
// It stores a ticket or a list of instances that came with the problem.
func (c *Client) decideRetry(address string, r *Request, err error) (time.Duration, bool) {
	var p *cwanswer.Problem
	if !errors.As(err, &p) {
		c.recordFailure(address)
		return 0, r.Ticket != "" || r.Method == http.MethodGet || r.Method == http.MethodHead
	}
	if p.Ticket != "" && p.Outcome == cwanswer.NotRun {
		r.Ticket = p.Ticket
		return 0, true
	}
	if p.Outcome != cwanswer.NotRun && (r.Ticket == "" || p.Status == http.StatusBadGateway || p.Status == http.StatusLoopDetected) {
		return 0, false
	}
	switch p.Status {
	case http.StatusTemporaryRedirect, http.StatusMisdirectedRequest:
		c.storeInstances(r.Service, p.Instances)
		return 0, len(p.Instances) > 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusLoopDetected:
		return time.Duration(p.RetryAfterSeconds * float64(time.Second)), true
	}
	return 0, false
}

func (c *Client) sendAttempt(ctx context.Context, address string, r *Request) (*http.Response, error) {
	target := "http://" + address + "/services/" + url.PathEscape(r.Service) + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, target, nonReplayableBody(r))
	if err != nil {
		return nil, fmt.Errorf("call %s at %s: %w", r.Service, address, err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set("Authorization", "Bearer "+c.key)
	if len(r.Body) > 0 {
		req.Header.Set("Content-Type", cmp.Or(r.ContentType, "application/json"))
	}
	if r.Ticket != "" {
		req.Header.Set(cwanswer.HeaderTicket, r.Ticket)
	}
	if r.Timeout > 0 {
		req.Header.Set(cwanswer.HeaderDeadline, r.Timeout.String())
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s at %s: %w", r.Service, address, err)
	}
	if resp.Header.Get("Content-Type") == cwanswer.ContentType {
		defer resp.Body.Close()
		return nil, readProblem(resp)
	}
	return resp, nil
}

// nonReplayableReader hides the type of the reader from net/http. The request then gets
// no GetBody function, and net/http does not send it a second time.
type nonReplayableReader struct{ io.Reader }

// nonReplayableBody returns the body of the request, or nil if it is empty and net/http does
// not send such a request again by itself. It does after a lost response if the method or a
// ticket makes the request idempotent; Call would then send it more often than it counts.
func nonReplayableBody(r *Request) io.Reader {
	isReplayed := r.Ticket != "" || r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	if len(r.Body) == 0 && !isReplayed {
		return nil
	}
	return nonReplayableReader{bytes.NewReader(r.Body)}
}

func readProblem(resp *http.Response) error {
	p := &cwanswer.Problem{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(p); err != nil {
		return fmt.Errorf("read problem: %w", err)
	}
	return p
}

// pickAddress picks a random instance by weight. Instances in exclude and instances that
// failed within suspicionDuration are used only if there are no others.
func (c *Client) pickAddress(ctx context.Context, service string, exclude []string) string {
	list := c.listInstances(ctx, service)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(list), func(i cwanswer.Instance) bool {
		return slices.Contains(exclude, i.Address) || now.Sub(c.lastFailedAt[i.Address]) < suspicionDuration
	})
	if len(usable) == 0 {
		usable = list
	}
	return pickByWeight(usable)
}

func pickByWeight(list []cwanswer.Instance) string {
	total := 0.0
	for _, i := range list {
		total += i.Weight
	}
	remaining := rand.Float64() * total
	for _, i := range list {
		if remaining -= i.Weight; remaining < 0 {
			return i.Address
		}
	}
	return list[len(list)-1].Address
}

// listInstances returns the instances to use for the service. It fetches a new list from
// the gateway when the current list has expired. If no instance returns one, it returns
// the expired list or, without one, the seed addresses.
func (c *Client) listInstances(ctx context.Context, service string) []cwanswer.Instance {
	c.mu.Lock()
	known := c.instanceLists[service]
	c.mu.Unlock()
	if time.Now().Before(known.expiresAt) {
		return known.instances
	}
	sources := c.listSources(known)
	for _, i := range sources {
		fetched, err := c.fetchInstances(ctx, i.Address, service)
		if err != nil || len(fetched.Instances) == 0 {
			continue
		}
		c.mu.Lock()
		c.instanceLists[service] = instanceList{instances: fetched.Instances, expiresAt: time.Now().Add(time.Duration(fetched.HoldSeconds * float64(time.Second)))}
		c.mu.Unlock()
		return fetched.Instances
	}
	return sources
}

func (c *Client) listSources(known instanceList) []cwanswer.Instance {
	if len(known.instances) > 0 {
		return known.instances
	}
	sources := make([]cwanswer.Instance, 0, len(c.seedAddresses))
	for _, address := range c.seedAddresses {
		sources = append(sources, cwanswer.Instance{Address: address, Weight: 1})
	}
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return sources
}

func (c *Client) fetchInstances(ctx context.Context, address, service string) (cwanswer.InstanceList, error) {
	list := cwanswer.InstanceList{}
	ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/instances?service="+url.QueryEscape(service), nil)
	if err != nil {
		return list, fmt.Errorf("fetch instances from %s: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return list, fmt.Errorf("fetch instances from %s: %w", address, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("fetch instances from %s: %w", address, err)
	}
	return list, nil
}

func (c *Client) storeInstances(service string, instances []cwanswer.Instance) {
	if len(instances) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instanceLists[service] = instanceList{instances: instances, expiresAt: time.Now().Add(problemListTTL)}
}

func (c *Client) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailedAt[address] = time.Now()
}
