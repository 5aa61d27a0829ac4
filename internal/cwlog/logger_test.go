package cwlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwlog"
)

// TestBlockedOutputDoesNotBlockLogging guards against log calls that wait for an output
// that is not read. Only Close may wait, up to its timeout.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		log := cwlog.NewLogger("info", 1_000_000, w)
		start := time.Now()
		for range 20_000 {
			log.Warn("unread line", zap.String("text", strings.Repeat("x", 100)))
		}
		log.Close()
		is.True(time.Since(start) <= 300*time.Millisecond) // no longer than the timeout of Close
		is.NoErr(r.CloseWithError(errors.New("reader closed")))
		synctest.Wait()
	})
}

// TestWarningsKeptAboveRateLimit guards against the loss of warnings when there are more
// lines than the rate limit allows: info lines are dropped first, and the number of
// dropped lines is logged.
func TestWarningsKeptAboveRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := cwlog.NewLogger("info", 100, &out)
		for range 500 {
			log.Info("success")
		}
		for range 30 {
			log.Warn("failure")
		}
		log.Close()
		linesByMessage := make(map[string]int)
		dropped := 0
		for line := range strings.Lines(out.String()) {
			var entry struct {
				Message string `json:"message"`
				Lines   int    `json:"lines"`
			}
			is.NoErr(json.Unmarshal([]byte(line), &entry))
			linesByMessage[entry.Message]++
			dropped += entry.Lines
		}
		is.Equal(linesByMessage["success"], 60)
		is.Equal(linesByMessage["failure"], 30)
		is.Equal(dropped, 440)
	})
}
