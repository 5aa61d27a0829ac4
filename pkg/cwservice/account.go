package cwservice

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Account is a client account: a caller that may use services.
type Account struct {
	// Name identifies the account in logs and limits.
	Name string `yaml:"name" json:"name"`
	// KeySHA256 is the SHA-256 of the caller's key in lower-case hex; see HashKey.
	KeySHA256 string `yaml:"keySha256" json:"keySha256"`
	// Home is the region that the account's data must not leave; empty means no limit.
	Home string `yaml:"home" json:"home,omitempty"`
	// Services are the names of the services that the account may call.
	Services []string `yaml:"services" json:"services"`
}

// MayCall reports whether the account may call the service.
func (a *Account) MayCall(service string) bool {
	return slices.Contains(a.Services, service)
}

// HashKey returns the SHA-256 of a caller's key in lower-case hex. Only this hash is
// published, never the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountFile is the content of the file that lists the client accounts.
type AccountFile struct {
	// Accounts are the client accounts.
	Accounts []Account `yaml:"accounts" json:"accounts"`
}
