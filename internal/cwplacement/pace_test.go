package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// streamsBesideLongPrompts returns the result of a load of short prompts with long streams and long
// prompts with short ones, whose callers expect the longest pause between events.
func streamsBesideLongPrompts(maxEventGap time.Duration) *emulator {
	m := newEmulator(3, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000)
	m.eventInterval = 40 * time.Millisecond
	id := uint64(1 << 40)
	next := func() cwplacement.Requirements {
		id++
		rs := cwplacement.Requirements{
			PromptTokens: 800, OutputTokens: 360, PromptParts: []cwplacement.PromptPart{{ID: id, Tokens: 800}},
			FirstByteTarget: 2 * time.Second, FirstByteTimeout: 8 * time.Second, MaxEventGap: maxEventGap,
		}
		if m.rng.IntN(3) == 0 {
			rs.PromptTokens, rs.OutputTokens, rs.PromptParts[0].Tokens = 9000, 60, 9000
		}
		return rs
	}
	m.run(20, 5*time.Second, next) // measures the speeds
	m.onTime, m.late, m.refused, m.disturbed = 0, 0, 0, 0
	m.run(20, 20*time.Second, next)
	return m
}

// TestLongPromptsBesideStreams guards against long prompts that hold up the running streams of all
// endpoints: an engine processes a chunk of a prompt between two tokens of its streams, so that
// their callers see pauses. The load is half of what the engines can process. Where callers expect
// a longest pause, at most half as many streams may meet a long prompt as without one, and no more
// answers may begin late.
func TestLongPromptsBesideStreams(t *testing.T) {
	is := is.New(t)
	without, with := streamsBesideLongPrompts(0), streamsBesideLongPrompts(600*time.Millisecond)
	t.Logf("disturbed %d without, %d with; late %d, %d; refused %d, %d", without.disturbed, with.disturbed, without.late, with.late, without.refused, with.refused)
	is.True(with.disturbed <= without.disturbed/2)
	is.True(with.late+with.refused <= without.late+without.refused)
}
