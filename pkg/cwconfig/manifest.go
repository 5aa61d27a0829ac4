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
	// MaxValueBytes is the maximum size of a value on the platform.
	MaxValueBytes = 1 << 20
)

// Manifest lists the buckets of one configuration.
type Manifest struct {
	// Number is the version number.
	Number uint64 `json:"number"`
	// Buckets are ordered by name.
	Buckets []BucketRef `json:"buckets"`
}

// BucketRef refers to one bucket by the hash of its content.
type BucketRef struct {
	// Name identifies the bucket in the configuration, such as accounts-07.
	Name string `json:"name"`
	// Hash is the result of HashOf for the bucket's bytes.
	Hash string `json:"hash"`
}

// ParseManifest decodes a manifest and returns it with its version.
func ParseManifest(data []byte) (Manifest, Version, error) {
	m := Manifest{}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Version{}, fmt.Errorf("parse manifest: %w", err)
	}
	return m, Version{Number: m.Number, Hash: HashOf(data)}, nil
}

// hashBytes is the length of a hash before its encoding. It is short to keep the manifest
// small, which is transferred again with every change.
const hashBytes = 16

// HashOf returns the first 16 bytes of the SHA-256 of data in unpadded URL-safe base64.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}
