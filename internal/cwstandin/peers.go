package cwstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwnet"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/internal/cwproto"
)

// peer stands in for another instance in exchanges. It responds to and initiates
// exchanges, and serves no callers.
type peer struct {
	entry       cwplatform.EntryInstance
	incarnation uint64
	// endpoints are the addresses of the endpoints that the peer would poll.
	endpoints []string
}

// Exchange responds with the peer's message for the sender's failure domain.
func (p *peer) Exchange(_ context.Context, message *cwproto.ExchangeMessage) (*cwproto.ExchangeMessage, error) {
	return p.buildExchangeMessage(message.GetSelf().GetDomain()), nil
}

// FetchConfig returns an empty response.
func (p *peer) FetchConfig(context.Context, *cwproto.FetchConfigRequest) (*cwproto.FetchConfigResponse, error) {
	return &cwproto.FetchConfigResponse{}, nil
}

// FetchPublished returns an empty response.
func (p *peer) FetchPublished(context.Context, *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	return &cwproto.FetchPublishedResponse{}, nil
}

// ShareCrashes ignores the evidence.
func (p *peer) ShareCrashes(context.Context, *cwproto.ShareCrashesRequest) (*cwproto.ShareCrashesResponse, error) {
	return &cwproto.ShareCrashesResponse{}, nil
}

// ShareStreams ignores the streams.
func (p *peer) ShareStreams(context.Context, *cwproto.ShareStreamsRequest) (*cwproto.ShareStreamsResponse, error) {
	return &cwproto.ShareStreamsResponse{}, nil
}

// FindStream knows no stream.
func (p *peer) FindStream(context.Context, *cwproto.FindStreamRequest) (*cwproto.FindStreamResponse, error) {
	return &cwproto.FindStreamResponse{}, nil
}

// TakeOver takes over no tickets.
func (p *peer) TakeOver(context.Context, *cwproto.TakeOverRequest) (*cwproto.TakeOverResponse, error) {
	return &cwproto.TakeOverResponse{}, nil
}

// buildExchangeMessage returns the message for a failure domain: the endpoints' states for the
// peer's own domain, and the pools' capacities for others.
func (p *peer) buildExchangeMessage(toDomain string) *cwproto.ExchangeMessage {
	message := &cwproto.ExchangeMessage{Protocol: cwpeer.ProtocolVersion, Config: &cwproto.ConfigVersion{}, Self: &cwproto.MemberState{
		Incarnation: p.incarnation, PeerAddress: p.entry.PeerAddress, CallerAddress: p.entry.CallerAddress,
		Region: p.entry.Region, Domain: p.entry.Domain, Size: 1, Load: rand.Float32(), Demand: 66,
	}}
	if toDomain == p.entry.Domain {
		p.addEndpoints(message)
		return message
	}
	for pool := range poolsPerPeer {
		message.Rooms = append(message.Rooms, &cwproto.PoolCapacity{
			Pool: fmt.Sprintf("model-%d", pool), Endpoints: 3, Slots: 48, Free: uint32(rand.IntN(48)), WaitSeconds: 0.1, SecondsPerToken: 0.0002,
		})
	}
	return message
}

func (p *peer) addEndpoints(message *cwproto.ExchangeMessage) {
	for _, address := range p.endpoints {
		message.Endpoints = append(message.Endpoints, &cwproto.EndpointState{
			Address: address, Incarnation: 1, AgeMillis: 500, Slots: plainSlots, Pool: "job-lookup", Accelerators: 1,
		})
	}
}

// assignEndpoints assigns to each peer of the domain the endpoints that it would poll as
// an instance.
func assignEndpoints(peers []*peer, target, domain string, endpoints []cwplatform.ListedEndpoint) {
	members := []cwpolicy.Member{{PeerAddress: target, Domain: domain}}
	for _, p := range peers {
		members = append(members, cwpolicy.Member{PeerAddress: p.entry.PeerAddress, Domain: p.entry.Domain})
	}
	now := time.Now()
	for _, p := range peers {
		for _, e := range endpoints {
			if p.entry.Domain == domain && cwpolicy.IsPoller(p.entry.PeerAddress, domain, e.Address, members, now) {
				p.endpoints = append(p.endpoints, e.Address)
			}
		}
	}
}

// poolsPerPeer is the number of pools whose capacity each peer reports.
const poolsPerPeer = 23

// runExchanges initiates an exchange with the target at each interval until the
// context ends.
func (p *peer) runExchanges(ctx context.Context, client *cwpeer.Client, target, domain string, interval time.Duration) {
	for ctx.Err() == nil {
		// A failed exchange is retried after the interval.
		_, _, _ = client.Exchange(ctx, target, p.buildExchangeMessage(domain))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// peersOptions are the flags of the peers command. remoteInitiators is the number of
// peers of other domains that initiate exchanges with the target.
type peersOptions struct {
	entriesFile, endpointsFile, targetAddress, targetDomain, peerKey string
	remoteInitiators                                                 int
}

func newPeersCommand() *cobra.Command {
	options := peersOptions{}
	cmd := &cobra.Command{
		Use: "peers", Short: "Stand in for all other instances of a list in exchanges", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runPeers(cmd.Context(), options) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.entriesFile, "entries", "", "file with the platform's list of instances")
	flags.StringVar(&options.endpointsFile, "endpoints", "", "file with the list of the domain's endpoints")
	flags.StringVar(&options.targetAddress, "target", "", "peer address of the instance that is real")
	flags.StringVar(&options.targetDomain, "domain", "", "its failure domain")
	flags.StringVar(&options.peerKey, "peer-key", "", "key of the peers")
	flags.IntVar(&options.remoteInitiators, "callers", 6, "instances of other domains that begin exchanges with it")
	return cmd
}

func runPeers(ctx context.Context, options peersOptions) error {
	var entries []cwplatform.EntryInstance
	var endpoints []cwplatform.ListedEndpoint
	if err := errors.Join(readJSONFile(options.entriesFile, &entries), readJSONFile(options.endpointsFile, &endpoints)); err != nil {
		return err
	}
	var peers []*peer
	for i, entry := range entries {
		if entry.PeerAddress != options.targetAddress {
			peers = append(peers, &peer{entry: entry, incarnation: uint64(i + 1)})
		}
	}
	assignEndpoints(peers, options.targetAddress, options.targetDomain, endpoints)
	client := cwpeer.NewClient(cwnet.NewTCP(), cwpeer.NewAuth(options.peerKey), nil)
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range peers {
		g.Go(func() error { return serve(ctx, p.entry.PeerAddress, cwproto.NewPeerServer(p)) })
		if p.entry.Domain == options.targetDomain {
			go p.runExchanges(ctx, client, options.targetAddress, options.targetDomain, domainExchangeInterval)
		} else if options.remoteInitiators > 0 {
			options.remoteInitiators--
			go p.runExchanges(ctx, client, options.targetAddress, options.targetDomain, remoteExchangeInterval)
		}
	}
	return g.Wait()
}

const (
	domainExchangeInterval = time.Second
	remoteExchangeInterval = 5 * time.Second
)

func readJSONFile(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("read list %s: %w", file, err)
	}
	return nil
}
