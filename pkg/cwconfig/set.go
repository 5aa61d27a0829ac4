package cwconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

const (
	// serviceBucketCount is the number of buckets for services. A service is assigned to
	// one by the hash of its name.
	serviceBucketCount = 16
	// accountBucketDigits is the number of hexadecimal digits of a key's hash that name the
	// account's bucket, so that the bucket of a key is found without a search.
	accountBucketDigits = 2
)

// KeyValue is one value for the platform.
type KeyValue struct {
	// Key is the platform key.
	Key string
	// Value is at most MaxValueBytes long.
	Value []byte
}

// Set contains all values that one publication puts on the platform.
type Set struct {
	// Version is the version of the manifest.
	Version Version
	// Values are the buckets, followed by the manifest. If they are put in this order, an
	// instance that reads the manifest also finds its buckets.
	Values []KeyValue
}

// Build returns the set for the services and accounts with a version number. It returns an
// error if the name of a service or account or the key of an account occurs twice, or if a
// value is larger than MaxValueBytes.
func Build(number uint64, services []cwservice.Service, accounts []cwservice.Account) (Set, error) {
	if err := checkUnique(services, accounts); err != nil {
		return Set{}, err
	}
	buckets := splitIntoBuckets(services, accounts)
	names := make([]string, 0, len(buckets))
	for name := range buckets {
		names = append(names, name)
	}
	slices.Sort(names)
	set := Set{}
	manifest := Manifest{Number: number, Buckets: make([]BucketRef, 0, len(names))}
	for _, name := range names {
		value, err := encodeValue(name, buckets[name])
		if err != nil {
			return Set{}, err
		}
		ref := BucketRef{Name: name, Hash: HashOf(value)}
		manifest.Buckets = append(manifest.Buckets, ref)
		set.Values = append(set.Values, KeyValue{Key: BucketKeyPrefix + ref.Hash, Value: value})
	}
	value, err := encodeValue("manifest", manifest)
	if err != nil {
		return Set{}, err
	}
	set.Values = append(set.Values, KeyValue{Key: ManifestKey, Value: value})
	set.Version = Version{Number: number, Hash: HashOf(value)}
	return set, nil
}

func checkUnique(services []cwservice.Service, accounts []cwservice.Account) error {
	seen := make(map[string]bool, len(services)+2*len(accounts))
	for _, s := range services {
		if seen["service "+s.Name] {
			return fmt.Errorf("build configuration: service %q is described twice", s.Name)
		}
		seen["service "+s.Name] = true
	}
	for _, a := range accounts {
		if seen["account "+a.Name] || seen["key "+a.KeySHA256] {
			return fmt.Errorf("build configuration: account %q or its key is described twice", a.Name)
		}
		seen["account "+a.Name], seen["key "+a.KeySHA256] = true, true
	}
	return nil
}

func splitIntoBuckets(services []cwservice.Service, accounts []cwservice.Account) map[string]*Bucket {
	buckets := make(map[string]*Bucket)
	ensureBucket := func(name string) *Bucket {
		if buckets[name] == nil {
			buckets[name] = &Bucket{}
		}
		return buckets[name]
	}
	for _, s := range services {
		b := ensureBucket(fmt.Sprintf("services-%02x", xxhash.Sum64String(s.Name)%serviceBucketCount))
		b.Services = append(b.Services, s)
	}
	for _, a := range accounts {
		b := ensureBucket(accountBucketName(a.KeySHA256))
		b.Accounts = append(b.Accounts, a)
	}
	for _, b := range buckets {
		slices.SortFunc(b.Services, func(x, y cwservice.Service) int { return strings.Compare(x.Name, y.Name) })
		slices.SortFunc(b.Accounts, func(x, y cwservice.Account) int { return strings.Compare(x.Name, y.Name) })
	}
	return buckets
}

func accountBucketName(keyHash string) string {
	return "accounts-" + keyHash[:accountBucketDigits]
}

func encodeValue(name string, v any) ([]byte, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", name, err)
	}
	if len(value) > MaxValueBytes {
		return nil, fmt.Errorf("encode %s: %d bytes, the platform holds %d", name, len(value), MaxValueBytes)
	}
	return value, nil
}
