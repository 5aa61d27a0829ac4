// Package cwheader tells the header fields that travel end to end from those that
// concern one connection.
package cwheader

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopFields are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the fields that travel on, less those that drop names.
func EndToEnd(h http.Header, drop func(name string) bool) http.Header {
	out := make(http.Header, len(h)+4)
	named := connectionFields(h)
	for name, values := range h {
		if slices.Contains(hopByHopFields, name) || slices.Contains(named, name) || drop(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionFields returns the fields that the Connection field names.
func connectionFields(h http.Header) []string {
	var named []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}
