package cwdispatch

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix begins the fields that only the gateway sets. A caller that sends
// them is not believed.
const ownPrefix = "Clementinewell-"

// RequestHeader returns the fields of a caller's request that travel to the
// endpoint. The caller's key does not.
func RequestHeader(h http.Header) http.Header {
	return filter(h, "Authorization", cwanswer.HeaderTicket, cwanswer.HeaderDeadline, "Content-Length", "Expect", "Host")
}

// answerHeader returns the fields of an endpoint's answer that travel to the
// caller.
func answerHeader(h http.Header) http.Header {
	return filter(h, cwendpoint.LoadHeader)
}

// cloneHeader returns a copy that can be written to.
func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return make(http.Header)
	}
	return h.Clone()
}

func filter(h http.Header, drop ...string) http.Header {
	out := make(http.Header, len(h)+4)
	named := connectionFields(h)
	for name, values := range h {
		if slices.Contains(hopByHop, name) || slices.Contains(drop, name) || slices.Contains(named, name) {
			continue
		}
		if strings.HasPrefix(name, ownPrefix) {
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
