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
	serviceBucketCount = 16
	// accountBucketDigits is the number of leading hex digits of the key's hash that
	// name the bucket of an account, so that the bucket can be found by the key alone.
	accountBucketDigits = 2
)

// KeyValue is one key and value on the platform.
type KeyValue struct {
	// Key is the platform key.
	Key string
	// Value has at most MaxValueBytes bytes.
	Value []byte
}

// Set is the set of all values that one publication writes to the platform.
type Set struct {
	// Version is the version of the manifest.
	Version Version
	// Values are the buckets, followed by the manifest. If they are written in this
	// order, an instance that reads the manifest also finds all its buckets.
	Values []KeyValue
}

// Build returns the set of values for the services and accounts with a version number.
// It fails if two services or accounts have the same name, if two accounts have the same
// key, or if a value would exceed MaxValueBytes. The KeySHA256 of every account must be
// valid.
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
			return fmt.Errorf("build configuration: service %q is defined twice", s.Name)
		}
		seen["service "+s.Name] = true
	}
	for _, a := range accounts {
		if seen["account "+a.Name] || seen["key "+a.KeySHA256] {
			return fmt.Errorf("build configuration: account %q or its key is defined twice", a.Name)
		}
		seen["account "+a.Name], seen["key "+a.KeySHA256] = true, true
	}
	return nil
}

func splitIntoBuckets(services []cwservice.Service, accounts []cwservice.Account) map[string]*Bucket {
	buckets := make(map[string]*Bucket)
	bucketNamed := func(name string) *Bucket {
		if buckets[name] == nil {
			buckets[name] = &Bucket{}
		}
		return buckets[name]
	}
	for _, s := range services {
		b := bucketNamed(fmt.Sprintf("services-%02x", xxhash.Sum64String(s.Name)%serviceBucketCount))
		b.Services = append(b.Services, s)
	}
	for _, a := range accounts {
		b := bucketNamed(accountBucketName(a.KeySHA256))
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
		return nil, fmt.Errorf("encode %s: %d bytes exceed the platform limit of %d", name, len(value), MaxValueBytes)
	}
	return value, nil
}
