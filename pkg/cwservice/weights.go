package cwservice

// Weights are the weights of the criteria by which a request is placed. For Cost and Tail
// only their ratio matters; Away does not depend on them.
type Weights struct {
	// Cost is the weight of accelerator seconds.
	Cost float64 `yaml:"cost" json:"cost"`
	// Tail is the weight of the predicted time to the first token.
	Tail float64 `yaml:"tail" json:"tail"`
	// Away is the weight of sending a request out of the region in which it arrived.
	Away float64 `yaml:"away" json:"away"`
}
