package cwcommon_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// TestSleepEndsInTime guards against a pause that lasts longer than its duration or its context.
func TestSleepEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		for range 1000 {
			cwcommon.Sleep(t.Context(), 0)
			cwcommon.Sleep(t.Context(), -time.Second)
		}
		is.Equal(time.Since(start), time.Duration(0))
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		cwcommon.Sleep(ended, time.Hour)
		is.Equal(time.Since(start), time.Duration(0))
		cwcommon.Sleep(t.Context(), time.Second)
		is.Equal(time.Since(start), time.Second)
	})
}
