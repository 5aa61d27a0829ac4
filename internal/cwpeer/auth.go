// Package cwpeer is the interface between entry instances: authentication, state
// exchanges, transfer of configuration and tickets, and forwarded requests.
package cwpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	authHeader = "Clementinewell-Auth"
	authScheme = "v1"
	// maxSignatureAge bounds the difference between a signature's time stamp and the
	// receiver's clock, that is the signature's age plus the clock skew.
	maxSignatureAge = 2 * time.Minute
)

// Auth signs and verifies messages between instances with their shared key.
type Auth struct {
	key []byte
}

// NewAuth returns an authenticator with the shared key. With an empty key nothing is
// signed or verified; the network must then restrict access to the peer interface.
func NewAuth(key string) *Auth {
	return &Auth{key: []byte(key)}
}

// Sign returns the authentication header for a message to the path. It is empty if there
// is no key.
func (a *Auth) Sign(path string, message []byte, now time.Time) string {
	if len(a.key) == 0 {
		return ""
	}
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	return authScheme + " " + stamp + " " + hex.EncodeToString(a.computeMAC(path, stamp, message))
}

// VerifyForward verifies the signature of a forwarded request, which covers only the
// message of its head. It returns the same errors as Verify.
func (a *Auth) VerifyForward(h http.Header, message []byte, now time.Time) error {
	return a.Verify(h.Get(authHeader), ForwardPath, message, now)
}

// Verify verifies the authentication header of a message received on the path. It returns
// an error if the signature is missing, wrong or too old.
func (a *Auth) Verify(header, path string, message []byte, now time.Time) error {
	if len(a.key) == 0 {
		return nil
	}
	parts := strings.Split(header, " ")
	if len(parts) != 3 || parts[0] != authScheme {
		return fmt.Errorf("authenticate peer: no signature of a known form")
	}
	millis, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.UnixMilli(millis)).Abs() > maxSignatureAge {
		return fmt.Errorf("authenticate peer: signature is too old or the clocks differ")
	}
	sum, err := hex.DecodeString(parts[2])
	if err != nil || !hmac.Equal(sum, a.computeMAC(path, parts[1], message)) {
		return fmt.Errorf("authenticate peer: wrong signature")
	}
	return nil
}

func (a *Auth) computeMAC(path, stamp string, message []byte) []byte {
	h := hmac.New(sha256.New, a.key)
	fmt.Fprintf(h, "%d %s %s ", len(path), path, stamp)
	h.Write(message)
	return h.Sum(nil)
}
