package cwsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpeer"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
	"github.com/clementinewell/clementinewell/pkg/cwconfig"
)

const (
	// maxBucketsPerFetch is the maximum number of buckets requested from a peer in one call.
	maxBucketsPerFetch = 32
	// readerCheckInterval is how often an instance that is not a platform reader checks
	// whether it has become one.
	readerCheckInterval = 2 * time.Second
)

// ConfigFollower fetches newer configurations from the platform and from peers.
type ConfigFollower struct {
	*cwcommon.Common
	control   *cwcontrol.Control
	reader    *cwplatform.Reader
	client    *cwpeer.Client
	manifests *ManifestStore
	// mu guards fetchedBuckets and lastOffered. It is held while a manifest is applied.
	mu sync.Mutex
	// revision is that of the manifest last read from the platform and applied; 0 before.
	revision uint64
	// lastReadAt is when the platform was last read, plus jitter.
	lastReadAt time.Time
	backoff    backoff
	// fetchedBuckets holds the buckets, by hash, of an incomplete fetch. A retry does not
	// read them again, because the platform limits the rate of calls.
	fetchedBuckets map[string][]byte
	// lastOffered is the latest version that a peer offered and the watch of the platform
	// was expected to deliver.
	lastOffered cwconfig.Version
}

// NewConfigFollower returns a follower; Run starts it.
func NewConfigFollower(common *cwcommon.Common, control *cwcontrol.Control, reader *cwplatform.Reader, client *cwpeer.Client, manifests *ManifestStore) *ConfigFollower {
	return &ConfigFollower{Common: common, control: control, reader: reader, client: client, manifests: manifests, backoff: newBackoff(), fetchedBuckets: make(map[string][]byte)}
}

// Run follows the platform until ctx ends. The platform readers of the domain watch it.
// The other instances read it about once per fallback interval, in case all their peers
// have lost contact with the platform.
func (f *ConfigFollower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if f.isReader() || f.isReadDue() {
			pause = f.step(ctx)
		} else {
			pause = readerCheckInterval
		}
		cwcommon.Sleep(ctx, pause)
	}
	return nil
}

func (f *ConfigFollower) isReader() bool {
	s := f.control.Snapshot()
	return cwpolicy.IsReader(s.Self.PeerAddress, s.Self.Domain, s.Members, cwpolicy.PlatformReadersPerDomain, time.Now())
}

// isReadDue reports whether an instance that is not a platform reader should read the
// platform now.
func (f *ConfigFollower) isReadDue() bool {
	return f.lastReadAt.IsZero() || time.Since(f.lastReadAt) > f.Settings.FallbackInterval
}

// step reads or watches the platform once and returns the pause before the next step.
func (f *ConfigFollower) step(ctx context.Context) time.Duration {
	err := f.readPlatform(ctx)
	f.lastReadAt = time.Now().Add(rand.N(f.Settings.FallbackInterval / 4))
	if err == nil || errors.Is(err, cwplatform.ErrUnchanged) {
		f.backoff.reset()
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	f.Log.Warn("configuration not read", zap.Error(err))
	f.Metrics.Counter("platform_failures").Inc(1)
	return f.backoff.pause(err)
}

// readPlatform reads the manifest and applies it if it has changed. Platform readers wait
// for a change, after the first read.
func (f *ConfigFollower) readPlatform(ctx context.Context) error {
	wait := f.Settings.WatchWait
	if f.revision == 0 || !f.isReader() {
		wait = 0
	}
	value, err := watchValue(ctx, f.Common, f.reader, cwconfig.ManifestKey, f.revision, wait)
	if errors.Is(err, cwplatform.ErrUnchanged) {
		f.control.Post(ctx, cwcontrol.ConfigConfirmed{Version: f.control.Snapshot().ConfigTracker.Accepted()})
		return err
	}
	if err != nil {
		return err
	}
	err = f.applyManifest(ctx, value.Data, func(ref cwconfig.BucketRef) ([]byte, error) {
		v, err := f.reader.Read(ctx, cwconfig.BucketKeyPrefix+ref.Hash)
		return v.Data, err
	})
	if err != nil {
		return err
	}
	f.revision = value.Revision
	return nil
}

// applyManifest builds and posts the configuration of a manifest if it is newer than
// the one in force. Unless that fails, it posts that the manifest's version is
// confirmed, also if the manifest is not newer.
func (f *ConfigFollower) applyManifest(ctx context.Context, manifest []byte, fetch func(cwconfig.BucketRef) ([]byte, error)) error {
	m, version, err := cwconfig.ParseManifest(manifest)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.control.Snapshot()
	if s.ConfigTracker.IsNewer(version) {
		if err := f.buildState(ctx, m, manifest, s.Config, fetch); err != nil {
			return err
		}
	}
	f.control.Post(ctx, cwcontrol.ConfigConfirmed{Version: version})
	return nil
}

// buildState builds the configuration of a manifest, fetches its missing buckets and posts
// it. The caller holds mu.
func (f *ConfigFollower) buildState(ctx context.Context, m cwconfig.Manifest, manifest []byte, previous *cwconfig.State, fetch func(cwconfig.BucketRef) ([]byte, error)) error {
	var fetched []cwconfig.KeyValue
	for _, ref := range cwconfig.Missing(m, previous) {
		data := f.fetchedBuckets[ref.Hash]
		if data == nil {
			var err error
			if data, err = fetch(ref); err != nil {
				return fmt.Errorf("fetch configuration bucket %s: %w", ref.Name, err)
			}
			f.fetchedBuckets[ref.Hash] = data
		}
		fetched = append(fetched, cwconfig.KeyValue{Key: cwconfig.BucketKeyPrefix + ref.Hash, Value: data})
	}
	state, err := cwconfig.NewState(manifest, previous, fetched)
	if err != nil {
		return err
	}
	clear(f.fetchedBuckets)
	f.manifests.Put(manifest)
	f.control.Post(ctx, cwcontrol.ConfigFetched{State: state})
	return nil
}

// Pull fetches the configuration of the peer at the address if the offered version is
// newer than the one in force and is not expected from the platform.
func (f *ConfigFollower) Pull(ctx context.Context, address string, offered cwconfig.Version) {
	if !f.control.Snapshot().ConfigTracker.IsNewer(offered) || f.expectsFromWatch(offered) {
		return
	}
	if err := f.pull(ctx, address); err != nil {
		f.Log.Warn("configuration not pulled", zap.String("peer", address), zap.Error(err))
	}
}

// expectsFromWatch reports whether the watch of the platform should deliver the offered
// version soon. It returns false if the same version is offered again, because the watch
// may then be broken.
func (f *ConfigFollower) expectsFromWatch(offered cwconfig.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastOffered == offered || f.control.Snapshot().Config == nil || !f.isReader() {
		return false
	}
	f.lastOffered = offered
	return true
}

func (f *ConfigFollower) pull(ctx context.Context, address string) error {
	values, err := f.client.FetchConfig(ctx, address, nil)
	if err != nil {
		return err
	}
	if len(values) == 0 {
		return fmt.Errorf("fetch configuration manifest from %s: the peer has none", address)
	}
	manifest := values[0].GetValue()
	m, _, err := cwconfig.ParseManifest(manifest)
	if err != nil {
		return err
	}
	buckets, err := f.pullBuckets(ctx, address, cwconfig.Missing(m, f.control.Snapshot().Config))
	if err != nil {
		return err
	}
	return f.applyManifest(ctx, manifest, func(ref cwconfig.BucketRef) ([]byte, error) {
		for _, kv := range buckets {
			if kv.Key == ref.Hash {
				return kv.Value, nil
			}
		}
		return nil, fmt.Errorf("peer %s does not have the bucket", address)
	})
}

// pullBuckets fetches buckets from the peer. The keys of the result are hashes computed
// from the values, so that a wrong value is not taken for a requested bucket.
func (f *ConfigFollower) pullBuckets(ctx context.Context, address string, refs []cwconfig.BucketRef) ([]cwconfig.KeyValue, error) {
	var buckets []cwconfig.KeyValue
	for start := 0; start < len(refs); start += maxBucketsPerFetch {
		var hashes []string
		for _, ref := range refs[start:min(start+maxBucketsPerFetch, len(refs))] {
			hashes = append(hashes, ref.Hash)
		}
		values, err := f.client.FetchConfig(ctx, address, hashes)
		if err != nil {
			return nil, err
		}
		for _, kv := range values {
			buckets = append(buckets, cwconfig.KeyValue{Key: cwconfig.HashOf(kv.GetValue()), Value: kv.GetValue()})
		}
	}
	return buckets, nil
}
