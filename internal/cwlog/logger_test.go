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

// TestBlockedOutputDoesNotBlockLogging: nobody reads the output, and writing lines still
// takes no time.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		log := cwlog.NewLogger("info", 1_000_000, w)
		start := time.Now()
		for range 20_000 {
			log.Warn("a line that nobody reads", zap.String("text", strings.Repeat("x", 100)))
		}
		log.Close()
		is.True(time.Since(start) <= 300*time.Millisecond) // only the bound of Close
		is.NoErr(r.CloseWithError(errors.New("reader is gone")))
		synctest.Wait()
	})
}

// TestWarningsKeptAboveRateLimit: above the bound, lines of success are dropped first, and
// the number of dropped lines is told.
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
		counts := make(map[string]int)
		dropped := 0
		for line := range strings.Lines(out.String()) {
			var l struct {
				Message string `json:"message"`
				Lines   int    `json:"lines"`
			}
			is.NoErr(json.Unmarshal([]byte(line), &l))
			counts[l.Message]++
			dropped += l.Lines
		}
		is.Equal(counts["success"], 60)
		is.Equal(counts["failure"], 30)
		is.Equal(dropped, 440)
	})
}
