package cwconfig

import (
	"encoding/json"
	"fmt"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Bucket is a small part of a configuration. A change of one account or service
// replaces only one bucket.
type Bucket struct {
	// Services are ordered by name.
	Services []cwservice.Service `json:"services,omitempty"`
	// Accounts are ordered by name.
	Accounts []cwservice.Account `json:"accounts,omitempty"`
}

// ParseBucket decodes the published bytes of a bucket. It fails if they do not match
// the hash in ref or are not valid JSON.
func ParseBucket(ref BucketRef, data []byte) (Bucket, error) {
	b := Bucket{}
	if hash := HashOf(data); hash != ref.Hash {
		return b, fmt.Errorf("parse bucket %s: content has hash %.8s, want %.8s", ref.Name, hash, ref.Hash)
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return b, fmt.Errorf("parse bucket %s: %w", ref.Name, err)
	}
	return b, nil
}
