package cwstandin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// TestCheckRateLimitExcusesFreezes guards against a check that blames an instance for what waited while it
// was frozen, and against one that excuses more than that.
func TestCheckRateLimitExcusesFreezes(t *testing.T) {
	for _, test := range []struct {
		name string
		// frozenFor is how long an instance is frozen before the requests, which come delay after it.
		// lowered is set if the limit is lowered meanwhile.
		frozenFor, delay time.Duration
		lowered          bool
		isExcused        bool
	}{
		{"lowered during a freeze", time.Second, 10 * time.Millisecond, true, true},
		{"not lowered", time.Second, 10 * time.Millisecond, false, false},
		{"later than the freeze", time.Second, 200 * time.Millisecond, true, false},
		{"no freeze", 0, 10 * time.Millisecond, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := cwstandin.NewWorker("w")
				w.SetRateLimit(0.5)
				if test.lowered {
					w.SetRateLimit(20)
				}
				time.Sleep(10 * time.Second)
				start := time.Now()
				time.Sleep(500 * time.Millisecond)
				w.SetRateLimit(0.5)
				time.Sleep(500 * time.Millisecond)
				freeze := cwstandin.Freeze{From: start, To: start.Add(test.frozenFor)}
				time.Sleep(test.delay)
				for range 30 {
					w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
				}
				time.Sleep(5 * time.Second)
				is.Equal(w.CheckRateLimit(time.Second, nil, freeze) == nil, test.isExcused)
			})
		})
	}
}
