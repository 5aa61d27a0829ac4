package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestEndpointsBecomeColdInSilence guards against checks that cost more than they tell, and against an
// endpoint that may have restarted and is not asked at once.
func TestEndpointsBecomeColdInSilence(t *testing.T) {
	is := is.New(t)
	var c cwplacement.ColdCheckTimes
	start, never := time.Unix(1000, 0), time.Time{}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	is.True(c.Take("a", never, at(0)))
	is.True(!c.Take("a", never, at(250*time.Millisecond)))
	is.True(c.Take("b", never, at(250*time.Millisecond)))
	is.True(!c.Take("a", at(-time.Second), at(500*time.Millisecond))) // out of reach before the check
	is.True(c.Take("a", at(600*time.Millisecond), at(750*time.Millisecond)))
	is.True(!c.Take("a", at(600*time.Millisecond), at(time.Second)))
	is.True(c.Take("a", at(600*time.Millisecond), at(1750*time.Millisecond)))
	c.Reset()
	is.True(c.Take("a", never, at(1800*time.Millisecond)))
}
