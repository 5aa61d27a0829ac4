package cwpeer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
	"github.com/clementinewell/clementinewell/internal/cwlimit"
	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
	"github.com/clementinewell/clementinewell/internal/cwpublished"
	"github.com/clementinewell/clementinewell/internal/cwstream"
)

const (
	// callTimeout bounds a call: a sound peer may be silent for a second and a half, and the
	// round trips between regions are added. It is below cwpolicy.MemberContactTimeout, so
	// that the next call can still be made in time. Calls that transfer configuration or
	// tickets may take twice as long.
	callTimeout = 2500 * time.Millisecond
	// idleConnTimeout is the time after which idle connections to peers are closed.
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerPeer = 2
)

// Client calls other instances.
type Client struct {
	http *signingClient
}

// NewClient returns a client that signs its calls with auth. Responses count in the budget.
func NewClient(n cwnet.Net, auth *Auth, budget *cwlimit.Budget) *Client {
	transport := cwlimit.NewTransport(&http.Transport{
		DialContext:         n.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}, budget, cwlimit.MaxControlBytes)
	return &Client{http: &signingClient{auth: auth, client: &http.Client{Transport: &cwnet.RenewingTransport{IdleCloser: transport}}}}
}

func (c *Client) peerAt(address string) cwproto.Peer {
	return cwproto.NewPeerProtobufClient("http://"+address, c.http)
}

// Exchange sends a message with this instance's state to the peer. It returns the peer's
// message and the duration of the call.
func (c *Client) Exchange(ctx context.Context, address string, message *cwproto.ExchangeMessage) (*cwproto.ExchangeMessage, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	response, err := c.peerAt(address).Exchange(ctx, message)
	if err != nil {
		return nil, 0, fmt.Errorf("exchange with %s: %w", address, cwlimit.ShortenError(err))
	}
	return response, time.Since(start), nil
}

// FetchConfig fetches the buckets with the hashes from the peer's configuration, or
// its manifest if there are no hashes.
func (c *Client) FetchConfig(ctx context.Context, address string, hashes []string) ([]*cwproto.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	resp, err := c.peerAt(address).FetchConfig(ctx, &cwproto.FetchConfigRequest{Keys: hashes})
	if err != nil {
		return nil, fmt.Errorf("fetch configuration from %s: %w", address, cwlimit.ShortenError(err))
	}
	return resp.GetValues(), nil
}

// FetchPublished fetches the changes of the published state after a revision from the
// peer.
func (c *Client) FetchPublished(ctx context.Context, address string, after cwpublished.Revision) (cwpublished.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.peerAt(address).FetchPublished(ctx, &cwproto.FetchPublishedRequest{After: uint64(after)})
	if err != nil {
		return cwpublished.Delta{}, fmt.Errorf("fetch published state from %s: %w", address, cwlimit.ShortenError(err))
	}
	d := cwpublished.Delta{Revision: cwpublished.Revision(resp.GetCurrent()), IsFull: resp.GetWhole()}
	if resp.GetTroubled() {
		d.StoreUnreachableAt = time.Now().Add(-time.Duration(resp.GetTroubleAgeMillis()) * time.Millisecond)
	}
	for _, item := range resp.GetItems() {
		d.Items = append(d.Items, cwpublished.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: cwpublished.Revision(item.GetRevision()), IsRemoved: item.GetRemoved(),
		})
	}
	return d, nil
}

// ShareCrashes sends evidence about requests that end endpoints to the peer.
func (c *Client) ShareCrashes(ctx context.Context, address string, reports []*cwcrash.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peerAt(address).ShareCrashes(ctx, &cwproto.ShareCrashesRequest{Records: protoCrashRecords(reports, time.Now())})
	if err != nil {
		return fmt.Errorf("share crash evidence with %s: %w", address, cwlimit.ShortenError(err))
	}
	return nil
}

// ShareStreams tells the peer of streams that this instance began.
func (c *Client) ShareStreams(ctx context.Context, address string, records []cwstream.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peerAt(address).ShareStreams(ctx, &cwproto.ShareStreamsRequest{Groups: protoStreamGroups(records, time.Now())})
	if err != nil {
		return fmt.Errorf("share streams with %s: %w", address, cwlimit.ShortenError(err))
	}
	return nil
}

// FindStream returns what the peer knows of a stream.
func (c *Client) FindStream(ctx context.Context, address string, id cwstream.ID) (StreamAnswer, error) {
	resp, err := c.peerAt(address).FindStream(ctx, &cwproto.FindStreamRequest{Stream: uint64(id)})
	if err != nil {
		return StreamAnswer{}, fmt.Errorf("ask %s about a stream: %w", address, cwlimit.ShortenError(err))
	}
	answer := StreamAnswer{Revision: cwpublished.Revision(resp.GetRevision()), IsUncertain: resp.GetUncertain()}
	if resp.GetGroup() == nil {
		return answer, nil
	}
	for _, r := range streamRecordsOf([]*cwproto.StreamGroup{resp.GetGroup()}, time.Now()) {
		if r.ID == id {
			answer.Record = &r
		}
	}
	return answer, nil
}

// TakeOver hands tickets over to the peer and returns the peer's incarnation. It returns
// an error if the peer does not accept them.
func (c *Client) TakeOver(ctx context.Context, address string, handovers []cwpolicy.TicketHandover) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	resp, err := c.peerAt(address).TakeOver(ctx, protoHandovers(handovers))
	if err != nil {
		return 0, fmt.Errorf("hand over tickets to %s: %w", address, cwlimit.ShortenError(err))
	}
	if !resp.GetAccepted() {
		return 0, fmt.Errorf("hand over tickets to %s: the peer is leaving too", address)
	}
	return resp.GetSuccessor(), nil
}
