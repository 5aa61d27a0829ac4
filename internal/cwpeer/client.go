package cwpeer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
)

const (
	callTimeout = 1500 * time.Millisecond
	// idleConnTimeout closes connections to peers that are seldom used.
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerPeer = 2
)

// Client calls other instances.
type Client struct {
	http *signingClient
}

// NewClient returns a client that signs with auth.
func NewClient(n cwnet.Net, auth *Auth) *Client {
	transport := &http.Transport{
		DialContext:         n.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &signingClient{auth: auth, client: &http.Client{Transport: transport}}}
}

func (c *Client) peerAt(address string) cwproto.Peer {
	return cwproto.NewPeerProtobufClient("http://"+address, c.http)
}

// Exchange swaps news with the peer and returns the round trip.
func (c *Client) Exchange(ctx context.Context, address string, news *cwproto.News) (*cwproto.News, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	answer, err := c.peerAt(address).Exchange(ctx, news)
	if err != nil {
		return nil, 0, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return answer, time.Since(start), nil
}

// FetchConfig asks the peer for values of its configuration.
func (c *Client) FetchConfig(ctx context.Context, address string, hashes []string) ([]*cwproto.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	answer, err := c.peerAt(address).FetchConfig(ctx, &cwproto.FetchConfigRequest{Keys: hashes})
	if err != nil {
		return nil, fmt.Errorf("fetch configuration from %s: %w", address, err)
	}
	return answer.GetValues(), nil
}

// FetchPublished asks the peer for what was published after a revision.
func (c *Client) FetchPublished(ctx context.Context, address string, after uint64) (cwpublished.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.peerAt(address).FetchPublished(ctx, &cwproto.FetchPublishedRequest{After: after})
	if err != nil {
		return cwpublished.Delta{}, fmt.Errorf("fetch published state from %s: %w", address, err)
	}
	d := cwpublished.Delta{Revision: answer.GetCurrent(), IsFull: answer.GetWhole()}
	if answer.GetTroubled() {
		d.StoreUnreachableAt = time.Now().Add(-time.Duration(answer.GetTroubleAgeMillis()) * time.Millisecond)
	}
	for _, item := range answer.GetItems() {
		d.Items = append(d.Items, cwpublished.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), IsRemoved: item.GetRemoved(),
		})
	}
	return d, nil
}

// TakeOver hands tickets to the peer. It returns the peer's incarnation.
func (c *Client) TakeOver(ctx context.Context, address string, handovers []cwpolicy.TicketHandover) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	answer, err := c.peerAt(address).TakeOver(ctx, protoHandovers(handovers))
	if err != nil {
		return 0, fmt.Errorf("hand tickets to %s: %w", address, err)
	}
	if !answer.GetAccepted() {
		return 0, fmt.Errorf("hand tickets to %s: the peer leaves too", address)
	}
	return answer.GetSuccessor(), nil
}
