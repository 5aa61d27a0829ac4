package cwpolicy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestLaterResponseIndicatesStalledConnection guards against replacing a request that
// only waits on a slow endpoint: only the response to a request that started later
// indicates that the connection is stalled.
func TestLaterResponseIndicatesStalledConnection(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	e := cwpolicy.NewEndpoint("10.0.0.1:80", start)
	is.True(!e.HasAnsweredRequestAfter(start))
	e.OnFirstToken(&cwpolicy.EndpointChoice{Endpoint: e}, time.Second, start.Add(500*time.Millisecond))
	is.True(!e.HasAnsweredRequestAfter(start)) // that request started earlier
	e.OnFirstToken(&cwpolicy.EndpointChoice{Endpoint: e}, time.Second, start.Add(3*time.Second))
	is.True(e.HasAnsweredRequestAfter(start))
}
