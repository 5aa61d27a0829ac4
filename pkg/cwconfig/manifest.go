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
	// BucketKeyPrefix and the hash of a bucket form the platform key of the bucket.
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

// BucketRef identifies one bucket by the hash of its content.
type BucketRef struct {
	// Name identifies the bucket within the set, such as accounts-07.
	Name string `json:"name"`
	// Hash is the result of HashOf for the published bytes of the bucket.
	Hash string `json:"hash"`
}

// ParseManifest decodes a manifest and returns it with its version. It fails if the
// bytes are not valid JSON.
func ParseManifest(data []byte) (Manifest, Version, error) {
	m := Manifest{}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, Version{}, fmt.Errorf("parse manifest: %w", err)
	}
	return m, Version{Number: m.Number, Hash: HashOf(data)}, nil
}

const hashBytes = 16

// HashOf returns the first 16 bytes of the SHA-256 of data in URL-safe base64 without
// padding. The short form keeps the manifest small, because every change transfers the
// whole manifest.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}
