package cwdispatch

import (
	"net/http"
	"slices"
	"strings"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwheader"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// gatewayHeaderPrefix is the prefix of the gateway's own header fields. filterHeader
// drops them, so that none is passed on between caller and endpoint.
const gatewayHeaderPrefix = "Clementinewell-"

// FilterRequestHeader returns the fields of a caller's request that are sent to the
// endpoint. The caller's key is dropped.
func FilterRequestHeader(h http.Header) http.Header {
	return filterHeader(h, "Authorization", cwanswer.HeaderTicket, cwanswer.HeaderDeadline, "Content-Length", "Expect", "Host")
}

// filterResponseHeader returns the fields of an endpoint's response that are sent to
// the caller.
func filterResponseHeader(h http.Header) http.Header {
	return filterHeader(h, cwendpoint.LoadHeader)
}

// cloneHeader returns a copy that can be modified, an empty one for a nil header.
func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return make(http.Header)
	}
	return h.Clone()
}

func filterHeader(h http.Header, drop ...string) http.Header {
	return cwheader.EndToEnd(h, func(name string) bool {
		return slices.Contains(drop, name) || strings.HasPrefix(name, gatewayHeaderPrefix)
	})
}
