package cwgate

// CallerKey is the key that a caller sent.
type CallerKey struct {
	// Text is the key; empty if there is none. It is not to be logged.
	Text string
	// IsMalformed is set if the field for keys holds something else.
	IsMalformed bool
}
