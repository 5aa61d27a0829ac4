package cwroute

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Account is a client account.
type Account struct {
	// Name identifies the account to endpoints, in logs and in metrics.
	Name string
	// Keys are the keys that its callers may use.
	Keys []string
	// Priority ranks the requests of the account in place of the route's priority, if
	// HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Homes are the regions in which its requests may be served; empty allows all.
	Homes []string
	// Quota bounds the requests of the account over all instances.
	Quota Quota
}

// fingerprintBytes is the length of a fingerprint. 8 bytes tell the keys of an account apart and
// reveal no key.
const fingerprintBytes = 8

// Fingerprint returns the fingerprint of a key, which may be logged and sent to other instances. An
// empty key has an empty one.
func Fingerprint(key string) string {
	if key == "" {
		return ""
	}
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:fingerprintBytes])
}

// HasFingerprint reports whether the account has a key with the fingerprint.
func (a *Account) HasFingerprint(fingerprint string) bool {
	return fingerprint != "" && slices.ContainsFunc(a.Keys, func(key string) bool { return Fingerprint(key) == fingerprint })
}

// AllowsRegion reports whether requests of the account may be served in the region. Requests
// without an account may be served in all.
func (a *Account) AllowsRegion(region string) bool {
	return a == nil || len(a.Homes) == 0 || slices.Contains(a.Homes, region)
}
