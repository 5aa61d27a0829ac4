package cwconfig

import (
	"crypto/subtle"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// State is a complete configuration in memory. It is immutable after NewState and safe
// for concurrent use. Consecutive states share the buckets that are equal in both. The
// methods of a nil State return nil.
type State struct {
	// Version identifies the configuration.
	Version Version
	// Manifest lists the buckets.
	Manifest Manifest

	bucketsByHash  map[string]*loadedBucket
	bucketsByName  map[string]*loadedBucket
	services       map[string]*cwservice.Service
	parsedAccounts *accountCache
}

// loadedBucket holds accounts only as published bytes. In parsed form, all accounts of a
// large operator need several times as much memory.
type loadedBucket struct {
	ref      BucketRef
	raw      []byte
	services []cwservice.Service
}

// Missing returns the buckets of the manifest that previous does not contain. Previous
// may be nil.
func Missing(m Manifest, previous *State) []BucketRef {
	var missing []BucketRef
	for _, ref := range m.Buckets {
		if previous == nil || previous.bucketsByHash[ref.Hash] == nil {
			missing = append(missing, ref)
		}
	}
	return missing
}

// NewState builds the state of a manifest from the buckets of previous, which may be
// nil, and the fetched buckets, which are keyed by BucketKeyPrefix and their hash. It
// fails if the manifest is invalid or if a bucket is invalid or in neither of them.
func NewState(manifest []byte, previous *State, fetched []KeyValue) (*State, error) {
	m, version, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	raw := make(map[string][]byte, len(fetched))
	for _, kv := range fetched {
		raw[kv.Key] = kv.Value
	}
	s := &State{
		Version:        version,
		Manifest:       m,
		bucketsByHash:  make(map[string]*loadedBucket, len(m.Buckets)),
		bucketsByName:  make(map[string]*loadedBucket, len(m.Buckets)),
		services:       make(map[string]*cwservice.Service),
		parsedAccounts: newAccountCache(),
	}
	for _, ref := range m.Buckets {
		if previous != nil && previous.bucketsByHash[ref.Hash] != nil {
			s.bucketsByHash[ref.Hash] = previous.bucketsByHash[ref.Hash]
		} else if err := s.addBucket(ref, raw[BucketKeyPrefix+ref.Hash]); err != nil {
			return nil, err
		}
		b := s.bucketsByHash[ref.Hash]
		s.bucketsByName[ref.Name] = b
		for i := range b.services {
			s.services[b.services[i].Name] = &b.services[i]
		}
	}
	return s, nil
}

func (s *State) addBucket(ref BucketRef, raw []byte) error {
	parsed, err := ParseBucket(ref, raw)
	if err != nil {
		return err
	}
	s.bucketsByHash[ref.Hash] = &loadedBucket{ref: ref, raw: raw, services: parsed.Services}
	return nil
}

// Service returns the service with the name, or nil.
func (s *State) Service(name string) *cwservice.Service {
	if s == nil {
		return nil
	}
	return s.services[name]
}

// Services returns all services, in no particular order.
func (s *State) Services() []*cwservice.Service {
	if s == nil {
		return nil
	}
	all := make([]*cwservice.Service, 0, len(s.services))
	for _, service := range s.services {
		all = append(all, service)
	}
	return all
}

// AccountByKeyHash returns the account whose key has the hash, or nil. Only hashes are
// compared, in constant time.
func (s *State) AccountByKeyHash(hash string) *cwservice.Account {
	if s == nil || len(hash) < accountBucketDigits {
		return nil
	}
	b := s.bucketsByName[accountBucketName(hash)]
	if b == nil {
		return nil
	}
	if a := s.parsedAccounts.get(hash); a != nil {
		return a
	}
	bucket, err := ParseBucket(b.ref, b.raw)
	if err != nil {
		// Not reached: the same bytes were parsed when the bucket was added.
		return nil
	}
	for i := range bucket.Accounts {
		a := bucket.Accounts[i]
		if subtle.ConstantTimeCompare([]byte(a.KeySHA256), []byte(hash)) == 1 {
			s.parsedAccounts.put(hash, &a)
			return &a
		}
	}
	return nil
}

// AccountByName returns the account with the name, or nil. It parses and searches all
// accounts, and is therefore meant for operators and not for serving requests.
func (s *State) AccountByName(name string) *cwservice.Account {
	if s == nil {
		return nil
	}
	for _, b := range s.bucketsByHash {
		bucket, err := ParseBucket(b.ref, b.raw)
		if err != nil {
			continue
		}
		for i := range bucket.Accounts {
			if bucket.Accounts[i].Name == name {
				return &bucket.Accounts[i]
			}
		}
	}
	return nil
}

// BucketBytes returns the published bytes of the bucket with the hash, or nil.
func (s *State) BucketBytes(hash string) []byte {
	if s == nil || s.bucketsByHash[hash] == nil {
		return nil
	}
	return s.bucketsByHash[hash].raw
}
