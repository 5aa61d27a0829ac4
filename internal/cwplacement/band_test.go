package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestShortRequestsBesideLongPromptsOfOneRank guards against short requests with a tight target
// that wait behind long prompts of the same rank, as where client accounts have one priority for all
// their requests. The engines are used to nine tenths; 19 of 20 short
// requests must be answered in time.
func TestShortRequestsBesideLongPromptsOfOneRank(t *testing.T) {
	is := is.New(t)
	const shortTarget = 600 * time.Millisecond
	m := newEmulator(3, 40_000, 40_000, 40_000, 40_000)
	id := uint64(1 << 40)
	next := func() cwplacement.Requirements {
		id++
		if m.rng.IntN(3) > 0 {
			return cwplacement.Requirements{
				PromptTokens: 600, OutputTokens: 300, PromptParts: []cwplacement.PromptPart{{ID: id, Tokens: 600}},
				FirstByteTarget: shortTarget, FirstByteTimeout: 4 * time.Second,
			}
		}
		return cwplacement.Requirements{
			PromptTokens: 9000, OutputTokens: 60, PromptParts: []cwplacement.PromptPart{{ID: id, Tokens: 9000}},
			FirstByteTarget: 2 * time.Second, FirstByteTimeout: 8 * time.Second,
		}
	}
	m.run(10, 5*time.Second, next) // measures the speeds
	m.onTime, m.late, m.refused = 0, 0, 0
	clear(m.lateByTarget)
	m.run(46, 30*time.Second, next)
	short := 46 * 30 * 2 / 3
	t.Logf("on time %d, late %d, refused %d, short and late %d of %d", m.onTime, m.late, m.refused, m.lateByTarget[shortTarget], short)
	is.True(m.lateByTarget[shortTarget]+m.refused <= short/20)
}
