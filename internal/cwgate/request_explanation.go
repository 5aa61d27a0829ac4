package cwgate

import "github.com/clementinewell/clementinewell/internal/cwplacement"

// RequestExplanation is where a request would go from this instance now, and why.
type RequestExplanation struct {
	// Region and Domain are those of this instance.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Route and Service are the names of the route and of its service with the largest share;
	// OtherServices are the weights of the others.
	Route         string             `json:"route"`
	Service       string             `json:"service"`
	OtherServices map[string]float64 `json:"otherServices"`
	// Account is the name of the client account; empty if there is none.
	Account string `json:"account"`
	// Quota is the state of the account's quota; null if it has none.
	Quota *QuotaExplanation `json:"quota"`
	// RouteHomes and AccountHomes are the regions that bound the request; empty allows all.
	RouteHomes   []string `json:"routeHomes"`
	AccountHomes []string `json:"accountHomes"`
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int `json:"priority"`
	// Block is the block that refuses the request because of the parts of its prompt; null if there
	// is none. UncheckedBlocks is the number of the other blocks in force: whether they match can
	// depend on the body.
	Block           *BlockStatus `json:"block"`
	UncheckedBlocks int          `json:"uncheckedBlocks"`
	// IsCutOff is set while this instance reaches no endpoint of its region, IsLeaving while it
	// shuts down.
	IsCutOff  bool `json:"cutOff"`
	IsLeaving bool `json:"leaving"`
	// Placement is the placement of a request that no block refuses.
	Placement cwplacement.Explanation `json:"placement"`
	// Inputs are what the explanation is based on.
	Inputs ExplanationInputs `json:"inputs"`
}
