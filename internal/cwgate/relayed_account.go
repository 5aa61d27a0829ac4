package cwgate

// RelayedAccount is what the instance that relays a request tells about the caller's account.
type RelayedAccount struct {
	// Name is that of the account; empty if the request needs no key.
	Name string
	// KeyFingerprint is the fingerprint of the caller's key.
	KeyFingerprint string
	// ConfigVersion is the version of the configuration that decided about the request; 0 if
	// nothing is told.
	ConfigVersion uint64
}
