package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// TestShortSharedPartsStayInRegion guards against requests that wait a round trip for a region in
// which a short shared part of their prompts is cached: processing it again takes milliseconds.
func TestShortSharedPartsStayInRegion(t *testing.T) {
	is := is.New(t)
	for _, sc := range []struct {
		name         string
		sharedTokens int
		isRelayed    bool
	}{
		{"saves some milliseconds", 500, false},
		{"saves more than the round trip", 10_000, true},
	} {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			relayed := 0
			for n := range uint64(40) {
				north, south := newEmulator(1, 50_000), newEmulator(1, 50_000, 50_000, 50_000, 50_000)
				north.setDomain("north", "a")
				south.setDomain("south", "b")
				rs := cwplacement.Requirements{
					PromptTokens: sc.sharedTokens + 600, OutputTokens: 300, FirstByteTarget: 2 * time.Second, FirstByteTimeout: 8 * time.Second,
					PromptParts: []cwplacement.PromptPart{{ID: 100 + n, Tokens: sc.sharedTokens}, {ID: 1 << 40, Tokens: 600}},
				}
				if north.arrive(rs, cwplacement.Request{RemoteCapacities: []cwpolicy.DomainCapacity{south.capacity()}}).Action == cwplacement.ActionRelay {
					relayed++
				}
			}
			is.Equal(relayed > 0, sc.isRelayed)
		})
	}
}
