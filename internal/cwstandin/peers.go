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

// peer stands in for another instance in exchanges: it answers and begins them,
// and serves nothing.
type peer struct {
	entry       cwplatform.EntryInstance
	incarnation uint64
	// endpoints are those that the peer would poll.
	endpoints []string
}

// Exchange answers with the state of an idle instance.
func (p *peer) Exchange(_ context.Context, message *cwproto.ExchangeMessage) (*cwproto.ExchangeMessage, error) {
	return p.buildExchangeMessage(message.GetSelf().GetDomain()), nil
}

// FetchConfig has nothing to give.
func (p *peer) FetchConfig(context.Context, *cwproto.FetchConfigRequest) (*cwproto.FetchConfigResponse, error) {
	return &cwproto.FetchConfigResponse{}, nil
}

// FetchPublished has nothing to give.
func (p *peer) FetchPublished(context.Context, *cwproto.FetchPublishedRequest) (*cwproto.FetchPublishedResponse, error) {
	return &cwproto.FetchPublishedResponse{}, nil
}

// TakeOver refuses tickets.
func (p *peer) TakeOver(context.Context, *cwproto.TakeOverRequest) (*cwproto.TakeOverResponse, error) {
	return &cwproto.TakeOverResponse{}, nil
}

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

// assignEndpoints gives each peer of the domain the endpoints that it would poll, as the
// instances of a domain divide them.
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

// poolsPerPeer is the number of pools that each peer tells of.
const poolsPerPeer = 23

// runExchanges exchanges with the target again and again.
func (p *peer) runExchanges(ctx context.Context, client *cwpeer.Client, target, domain string, every time.Duration) {
	for ctx.Err() == nil {
		// A target that is down is asked again at the next turn.
		_, _, _ = client.Exchange(ctx, target, p.buildExchangeMessage(domain))
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// peersOptions are the flags of the command.
type peersOptions struct {
	entriesFile, endpointsFile, targetAddress, targetDomain, peerKey string
	remoteInitiators                                                 int
}

func newPeersCommand() *cobra.Command {
	o := peersOptions{}
	cmd := &cobra.Command{
		Use: "peers", Short: "Stand in for all other instances of a list in exchanges", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runPeers(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.entriesFile, "entries", "", "file with the platform's list of instances")
	f.StringVar(&o.endpointsFile, "endpoints", "", "file with the list of the domain's endpoints")
	f.StringVar(&o.targetAddress, "target", "", "peer address of the instance that is real")
	f.StringVar(&o.targetDomain, "domain", "", "its failure domain")
	f.StringVar(&o.peerKey, "peer-key", "", "key of the peers")
	f.IntVar(&o.remoteInitiators, "callers", 6, "instances of other domains that begin exchanges with it")
	return cmd
}

func runPeers(ctx context.Context, o peersOptions) error {
	var entries []cwplatform.EntryInstance
	var endpoints []cwplatform.ListedEndpoint
	if err := errors.Join(readJSONFile(o.entriesFile, &entries), readJSONFile(o.endpointsFile, &endpoints)); err != nil {
		return err
	}
	var peers []*peer
	for i, entry := range entries {
		if entry.PeerAddress != o.targetAddress {
			peers = append(peers, &peer{entry: entry, incarnation: uint64(i + 1)})
		}
	}
	assignEndpoints(peers, o.targetAddress, o.targetDomain, endpoints)
	client := cwpeer.NewClient(cwnet.NewTCP(), cwpeer.NewAuth(o.peerKey))
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range peers {
		g.Go(func() error { return serve(ctx, p.entry.PeerAddress, cwproto.NewPeerServer(p)) })
		if p.entry.Domain == o.targetDomain {
			go p.runExchanges(ctx, client, o.targetAddress, o.targetDomain, domainExchangeInterval)
		} else if o.remoteInitiators > 0 {
			o.remoteInitiators--
			go p.runExchanges(ctx, client, o.targetAddress, o.targetDomain, remoteExchangeInterval)
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
