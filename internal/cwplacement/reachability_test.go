package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestReachability guards against an instance that takes the end of some endpoints for its own
// cut, and against one that does not notice its cut.
func TestReachability(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	is := is.New(t)
	var r cwplacement.Reachability
	is.True(!r.OnUnreached("a", at(1), 4))
	is.True(!r.OnUnreached("a", at(2), 4)) // the same one again
	is.True(!r.OnUnreached("b", at(3), 4))
	is.True(!r.OnReached(at(4)))
	is.True(!r.OnUnreached("c", at(3), 4)) // begun before another one was reached
	is.True(!r.OnUnreached("a", at(5), 4))
	is.True(!r.OnUnreached("b", at(6), 4))
	is.True(r.OnUnreached("c", at(7), 4))
	is.True(r.IsCutOff())
	is.True(!r.OnUnreached("d", at(8), 4)) // known already
	is.True(r.OnReached(at(9)))
	is.True(!r.IsCutOff())
	is.True(r.OnUnreached("only", at(10), 1))
}
