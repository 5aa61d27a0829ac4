package cwconfig

import (
	"encoding/json"
	"fmt"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

// Bucket is a small part of a configuration. A change of one account or
// service replaces one bucket.
type Bucket struct {
	// Services are ordered by name.
	Services []cwservice.Service `json:"services,omitempty"`
	// Accounts are ordered by name.
	Accounts []cwservice.Account `json:"accounts,omitempty"`
}

// ParseBucket decodes a bucket. It returns an error if the hash of data is not that in the
// manifest.
func ParseBucket(ref BucketRef, data []byte) (Bucket, error) {
	b := Bucket{}
	if got := HashOf(data); got != ref.Hash {
		return b, fmt.Errorf("parse bucket %s: content has hash %.8s, want %.8s", ref.Name, got, ref.Hash)
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return b, fmt.Errorf("parse bucket %s: %w", ref.Name, err)
	}
	return b, nil
}
