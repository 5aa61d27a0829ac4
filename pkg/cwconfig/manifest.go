package cwconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
)

const (
	// ManifestKey is the platform key of the manifest.
	ManifestKey = "config/manifest"
	// BucketKeyPrefix precedes a bucket's hash in its platform key.
	BucketKeyPrefix = "config/buckets/"
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
)

// Manifest names the buckets of one configuration.
type Manifest struct {
	// Number is the version number.
	Number uint64 `json:"number"`
	// Buckets are ordered by name.
	Buckets []BucketRef `json:"buckets"`
}

// BucketRef names one bucket by its content.
type BucketRef struct {
	// Name is the position of the bucket in the set, such as accounts-07.
	Name string `json:"name"`
	// Hash is the HashOf the bucket's bytes.
	Hash string `json:"hash"`
}

// ParseManifest reads a manifest and returns its version.
func ParseManifest(data []byte) (Manifest, Version, error) {
	m := Manifest{}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Version{}, fmt.Errorf("parse manifest: %w", err)
	}
	return m, Version{Number: m.Number, Hash: HashOf(data)}, nil
}

const hashBytes = 16

// HashOf returns the first 16 bytes of the SHA-256 of data in URL-safe base64. The
// short form keeps the manifest small, which every change sends anew.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}
