package cwservice

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Account is a caller as the operator publishes it.
type Account struct {
	// Name identifies the account in logs and limits.
	Name string `yaml:"name" json:"name"`
	// KeySHA256 is the lower-case hex SHA-256 of the caller's key.
	KeySHA256 string `yaml:"keySha256" json:"keySha256"`
	// Home is the region that the account's data may not leave; empty means no bound.
	Home string `yaml:"home" json:"home,omitempty"`
	// Services are the services that the account may call.
	Services []string `yaml:"services" json:"services"`
}

// MayCall reports whether the account may call the service.
func (a *Account) MayCall(service string) bool {
	return slices.Contains(a.Services, service)
}

// HashKey returns the form in which a caller's key is published.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AccountFile is the file that lists the accounts of an operator.
type AccountFile struct {
	// Accounts are the callers.
	Accounts []Account `yaml:"accounts" json:"accounts"`
}
