package cwdispatch

import (
	"net/http"
	"slices"
	"strings"

	"github.com/clementinewell/clementinewell/internal/cwendpoint"
	"github.com/clementinewell/clementinewell/internal/cwheader"
	"github.com/clementinewell/clementinewell/pkg/cwanswer"
)

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
	return cwheader.EndToEnd(h, func(name string) bool {
		return slices.Contains(drop, name) || strings.HasPrefix(name, ownPrefix)
	})
}
