package cwcrash_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcrash"
)

// TestAccountsTellRequestsApart guards against a block of one account's requests that refuses those of
// another account: endpoints are told the account, so only path and body are the same.
func TestAccountsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	identity := func(account string) cwcrash.Identity {
		r := cwcrash.Request{Method: "POST", Host: "h", Path: "/r/x", Body: []byte("order"), Header: http.Header{"Accept": {"*/*"}}, IsPerAttempt: func(string) bool { return false }, Account: account}
		return r.Identity()
	}
	a, b, none := identity("a"), identity("b"), identity("")
	is.Equal(a, identity("a"))
	is.Equal(a.Same(), b.Same())
	is.True(a != b)
	is.True(a != none)
}
