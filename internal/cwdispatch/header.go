package cwdispatch

import (
	"net/http"
	"slices"
	"strings"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwheader"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

// gatewayHeaderPrefix begins the fields that only the gateway sets. A caller that sends
// them is not believed.
const gatewayHeaderPrefix = "Clementinewell-"

// FilterRequestHeader returns the fields of a caller's request that travel to the
// endpoint. The caller's key does not.
func FilterRequestHeader(h http.Header) http.Header {
	return filterHeader(h, "Authorization", cwanswer.HeaderTicket, cwanswer.HeaderDeadline, "Content-Length", "Expect", "Host")
}

// filterResponseHeader returns the fields of an endpoint's answer that travel to the
// caller.
func filterResponseHeader(h http.Header) http.Header {
	return filterHeader(h, cwendpoint.LoadHeader)
}

// cloneHeader returns a copy that can be written to.
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
