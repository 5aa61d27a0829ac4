package cwapp_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestErrorOmitsPathAndQuery has an endpoint that refuses connections. The
// error, which is logged and sent back, must not hold the request's path or query.
func TestErrorOmitsPathAndQuery(t *testing.T) {
	runInScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		s.Net.KillHost("10.1.0.5")
		a := s.NewCaller().Do(t.Context(), p.a, cwscene.Request{Method: "GET", Path: "/services/lookup/private-path?private=query"})
		is.True(a.Status >= 500)                      // the endpoint is gone
		is.True(strings.Contains(a.Body, "10.1.0.5")) // the peer is named
		is.True(!strings.Contains(a.Body, "private")) // the request is not
	})
}
