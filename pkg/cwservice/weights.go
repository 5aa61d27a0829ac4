package cwservice

// Weights say how much each measure counts when an endpoint is chosen.
// They are relative to each other.
type Weights struct {
	// Cost weighs accelerator seconds.
	Cost float64 `yaml:"cost" json:"cost"`
	// Tail weighs the predicted time to the first token.
	Tail float64 `yaml:"tail" json:"tail"`
	// Away weighs sending a request out of its arrival region.
	Away float64 `yaml:"away" json:"away"`
}
