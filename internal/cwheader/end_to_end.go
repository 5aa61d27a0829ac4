// Package cwheader separates end-to-end header fields from those that apply to one
// connection.
package cwheader

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopFields are the fields that apply to one connection only (RFC 9110, section
// 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the end-to-end fields of h, except those for whose name exclude returns
// true. The values are shared with h.
func EndToEnd(h http.Header, exclude func(name string) bool) http.Header {
	filtered := make(http.Header, len(h)+4)
	listed := connectionFields(h)
	for name, values := range h {
		if slices.Contains(hopByHopFields, name) || exclude(name) {
			continue
		}
		if _, isListed := slices.BinarySearch(listed, name); isListed {
			continue
		}
		filtered[name] = values
	}
	return filtered
}

// connectionFields returns the field names that the Connection field of h lists, in order. Both the
// list and the fields may be thousands, so that each can't be compared with each.
func connectionFields(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	slices.Sort(names)
	return names
}
