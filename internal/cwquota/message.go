package cwquota

import "time"

// Message is what an instance tells another one.
type Message struct {
	// Told is the spending of the sender, or of its domain if the receiver is in another one.
	Told
	// Relayed is what other domains told the sender, and what ended instances of its domain told it
	// last, for an instance of its own domain.
	Relayed []Relayed
}

// Told is what a source states at a time.
type Told struct {
	// Age is the time since the statements were made.
	Age time.Duration
	// SlotPassed is the part of the source's slot in progress that had passed when they were.
	// The clocks of instances differ.
	SlotPassed time.Duration
	// IsPartial is set if there are statements only about accounts close to their quotas. Without
	// it the source has spent nothing lately on the accounts that are left out.
	IsPartial  bool
	Statements []Statement
}

// Relayed is what another source told.
type Relayed struct {
	Source
	Told
}
