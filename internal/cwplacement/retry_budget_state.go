package cwplacement

// RetryBudgetState is what a retry budget has counted in its window, and what it allows.
type RetryBudgetState struct {
	// Requests and Retries are the counts in the window.
	Requests, Retries int
	// Allowance is the number of retries that may be made in the window.
	Allowance float64
	// Instances is the number of instances that share the slack.
	Instances int
}
