package cwapp_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
)

// TestErrorOmitsPathAndQuery uses an endpoint that refuses connections. The error is logged
// and sent to the caller, so it must not contain the path or query of the request.
func TestErrorOmitsPathAndQuery(t *testing.T) {
	inScene(t, services(cwscene.NewLookupService("north")), func(t *testing.T, is *is.I, s *cwscene.Scene) {
		p := newInstancePair(s, "lookup")
		s.Net.KillHost("10.1.0.5")
		resp := s.NewCaller().Do(t.Context(), p.a, cwscene.Request{Method: "GET", Path: "/services/lookup/private-path?private=query"})
		is.True(resp.Status >= 500)                      // the endpoint is unreachable
		is.True(strings.Contains(resp.Body, "10.1.0.5")) // the address of the endpoint is included
		is.True(!strings.Contains(resp.Body, "private")) // the request is not included
	})
}
