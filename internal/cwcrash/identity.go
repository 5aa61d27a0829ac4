package cwcrash

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// Request is what identifies a request that comes again under another identifier.
type Request struct {
	// Method, Host and Path are those of the request; Path has no query.
	Method, Host, Path string
	// Query and Body are those of the request.
	Query string
	Body  []byte
	// Header holds the fields to be forwarded. IsPerAttempt reports whether a field differs
	// between attempts of the same request.
	Header       http.Header
	IsPerAttempt func(name string) bool
	// Account is the name of the client account, which endpoints are told; empty if there is none.
	Account string
	// CallerIP is the address of the caller's host.
	CallerIP string
}

// Identity are the traits of a request by which another one can be the same, from the widest to
// the narrowest. Which of them tell the requests that end endpoints from others is left to the
// evidence.
type Identity [identityLevels]Trait

// Levels of an Identity.
const (
	sameBody = iota
	sameFields
	sameHost
	identityLevels
)

// levelNames are the names of the levels for operators.
var levelNames = [identityLevels]string{"path and body", "path, query, body and fields", "path, query, body and caller's host"}

// identitySalt separates identities from traits of other kinds.
const identitySalt = 0xc2b2ae3d27d4eb4f

// accountSalt separates the account from a header field.
const accountSalt = 0x9e3779b185ebca87

// PathTrait returns the trait of all requests with the method, host and path.
func (r *Request) PathTrait() Trait {
	hash := combine(identitySalt, xxhash.Sum64String(r.Method))
	hash = combine(hash, xxhash.Sum64String(r.Host))
	return Trait(combine(hash, xxhash.Sum64String(r.Path)))
}

// Identity returns the identity. It reads the whole body.
func (r *Request) Identity() Identity {
	var id Identity
	id[sameBody] = Trait(combine(uint64(r.PathTrait()), xxhash.Sum64(r.Body)))
	query := combine(uint64(id[sameBody]), xxhash.Sum64String(r.Query))
	fields := uint64(sameFields)
	if r.Account != "" {
		fields += combine(accountSalt, xxhash.Sum64String(r.Account))
	}
	for name, values := range r.Header {
		if r.IsPerAttempt(name) {
			continue
		}
		hash := xxhash.Sum64String(name)
		for _, v := range values {
			hash = combine(hash, xxhash.Sum64String(v))
		}
		// A sum does not depend on the order of the map.
		fields += hash
	}
	id[sameFields] = Trait(combine(query, fields))
	id[sameHost] = Trait(combine(query, xxhash.Sum64String(r.CallerIP)+sameHost))
	return id
}

// Suspects returns the traits of the identity with their names, for a request of the route with
// the path.
func (id *Identity) Suspects(route string, path Trait) []Suspect {
	suspects := make([]Suspect, 0, identityLevels)
	for level, t := range id {
		suspects = append(suspects, Suspect{Trait: t, Name: "same " + levelNames[level] + " on route " + route, Path: path})
	}
	return suspects
}

// Same returns the trait of requests with the same path and body.
func (id *Identity) Same() Trait {
	return id[sameBody]
}

// combine returns a hash of two hashes that depends on their order.
func combine(a, b uint64) uint64 {
	return mix(a*partSalt + b)
}
