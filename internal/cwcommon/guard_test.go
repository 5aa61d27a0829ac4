package cwcommon_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// TestBackgroundPanicIsLogged guards against a fault in a timer or goroutine of one request that
// ends the process, and with it all other requests.
func TestBackgroundPanicIsLogged(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func(c *cwcommon.Common, f func())
	}{
		{"goroutine", func(c *cwcommon.Common, f func()) { c.Go("probe", f) }},
		{"timer", func(c *cwcommon.Common, f func()) { c.AfterFunc(time.Second, "probe", f) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				core, logs := observer.New(zap.InfoLevel)
				metrics := tally.NewTestScope("", nil)
				c := &cwcommon.Common{Log: zap.New(core), Metrics: metrics}
				var list []int
				test.start(c, func() { _ = list[len(list)] })
				time.Sleep(2 * time.Second)
				lines := logs.FilterMessage("background step panicked").All()
				is.Equal(len(lines), 1)
				is.Equal(lines[0].ContextMap()["step"], "probe")
				is.Equal(lines[0].ContextMap()["panic"], "runtime error: index out of range [0] with length 0")
				is.Equal(metrics.Snapshot().Counters()["background_panics+step=probe"].Value(), int64(1))
			})
		})
	}
}
