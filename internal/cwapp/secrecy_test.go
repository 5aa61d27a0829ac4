package cwapp_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestFailureDoesNotQuoteTheRequest has an endpoint that refuses connections. The
// error, which is logged and sent back, must not hold the request's path or query.
func TestFailureDoesNotQuoteTheRequest(t *testing.T) {
	inScene(t, services(cwscene.Lookup("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newPair(s, "lookup")
		s.Net.Kill("10.1.0.5")
		a := s.Caller().Do(t.Context(), p.a, cwscene.Request{Method: "GET", Path: "/services/lookup/private-path?private=query"})
		is.True(a.Status >= 500)                      // the endpoint is gone
		is.True(strings.Contains(a.Body, "10.1.0.5")) // the peer is named
		is.True(!strings.Contains(a.Body, "private")) // the request is not
	})
}
